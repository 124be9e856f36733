package setup_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/node/setup"
)

// FuzzParse checks that Parse never panics. For valid settings it checks that
// rendering them and parsing the result yields the same settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("Trace = {Exporter = 'otlphttp', Endpoint = '[::1]:1', Sample = 1}\nSeeds = [[]]\nVM.x = 1\n"))
	f.Add([]byte("[Trace]\nFile = \"\"\"\n\\u0001\"\"\"\nStoreEndpoints = ['http://a:1/']\n[[Trace]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, problems := setup.Parse("f", text)
		if len(problems) > 0 {
			return
		}
		reparsed, problems := setup.Parse("f", setup.Render(settings))
		assert.Equal(t, problems.String(), "")
		assert.DeepEqual(t, reparsed, settings)
	})
}
