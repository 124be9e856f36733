package cli_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/ggw/cli"
)

func TestTablePrint(t *testing.T) {
	tests := []struct {
		name    string
		streams cli.Streams
		want    string
	}{
		{"not a terminal", cli.Streams{}, "café\tup\nx\tdown\n"},
		{"terminal without color", cli.Streams{IsTerminal: true}, "NAME  STATE\ncafé  up\nx     down\n"},
		{"terminal with color", cli.Streams{IsTerminal: true, UseColor: true}, "NAME  STATE\ncafé  \x1b[32mup\x1b[0m\nx     down\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			tt.streams.Out = &out
			table := cli.Table{Header: []string{"NAME", "STATE"}, Rows: [][]cli.Cell{
				{{Text: "café"}, {Text: "up", Color: cli.ColorGreen}},
			}}
			table.AddRow("x", "down")
			table.Print(tt.streams)
			assert.Equal(t, out.String(), tt.want)
		})
	}
}
