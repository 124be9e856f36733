// Package check implements "node check".
package check

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/node/setup"
)

// Name is the name of the command on the command line.
const Name = "check"

// Options are the inputs of the command.
type Options struct {
	// Out receives the text of the settings.
	Out io.Writer
	// SettingsPath is the path of the settings file.
	SettingsPath string
}

// New adds the command to app. Parsing the arguments fills in the returned options.
func New(app *kingpin.Application, out io.Writer) *Options {
	o := &Options{Out: out}
	command := app.Command(Name, "check a settings file and print the resulting settings")
	command.Flag("settings", "settings file").Required().StringVar(&o.SettingsPath)
	return o
}

// Run checks the settings file and prints the settings, with defaults for missing
// ones. The error lists every problem in the file.
func Run(o *Options) error {
	settings, problems := setup.Load(o.SettingsPath)
	if len(problems) > 0 {
		return fmt.Errorf("%s", problems)
	}
	_, err := fmt.Fprint(o.Out, string(setup.Render(settings)))
	return err
}
