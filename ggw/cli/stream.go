package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// Streams are the standard input, output and error of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal reports whether Out is a terminal.
	IsTerminal bool
	// UseColor enables colored output. It may be true only if IsTerminal is true.
	UseColor bool
}

// ProcessStreams returns the standard streams of this process. Color is used on
// a terminal unless the environment variable NO_COLOR is set.
func ProcessStreams() Streams {
	isTerminal := isatty.IsTerminal(os.Stdout.Fd())
	return Streams{
		In:         os.Stdin,
		Out:        os.Stdout,
		Err:        os.Stderr,
		IsTerminal: isTerminal,
		UseColor:   isTerminal && os.Getenv("NO_COLOR") == "",
	}
}

// WriteJSON writes value to Out as indented JSON.
func (s Streams) WriteJSON(value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// Printf writes to Out. It ignores write errors, so that a command does not fail
// when the reader of its output closes the pipe.
func (s Streams) Printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Out, format, arguments...)
}

// PrintErrf writes one line to Err. It appends the newline and ignores write
// errors.
func (s Streams) PrintErrf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Err, format+"\n", arguments...)
}
