package conf_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/protocol/conf"
)

// FuzzParse checks that Parse does not panic and that each problem has the number of
// a line in the file. For a valid file it checks that parsing the output of Render
// yields the same configuration.
func FuzzParse(f *testing.F) {
	f.Add([]byte(withDigests(validFile)))
	files, err := filepath.Glob("../../../examples/*.toml")
	assert.NilError(f, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		config, problems := conf.Parse("f", text)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, p := range problems {
			assert.Assert(t, p.Line >= 0 && p.Line <= lines, p.String())
			assert.Assert(t, p.Allowed != "")
		}
		if len(problems) > 0 {
			assert.Equal(t, len(config.Routes), 0)
			return
		}
		reparsed, problems := conf.Parse("f", conf.Render(config))
		assert.Equal(t, problems.String(), "")
		assert.Equal(t, len(conf.Diff(config, reparsed)), 0)
		assert.Equal(t, string(conf.Render(reparsed)), string(conf.Render(config)))
	})
}
