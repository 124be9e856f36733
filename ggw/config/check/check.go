// Package check implements the command ggw config check.
package check

import (
	"context"

	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/config/source"
)

const help = `Each invalid value is listed with its file, line and key and with the values
that are allowed. The command does not connect to the store and changes nothing.

EXAMPLES
  $ ggw config check consorcio.toml
  $ ggw config check --canonical consorcio.toml > canonical.toml
  $ generate-file | ggw config check -
`

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams cli.Streams
	// File is a path, or "-" or "" for standard input.
	File string
	// Canonical prints a valid file with every field. By default a summary of its
	// contents is printed.
	Canonical bool
	// JSON prints the configuration in a valid file as JSON. It takes precedence
	// over Canonical.
	JSON bool
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(Options) error) cli.Command {
	o := Options{Streams: env.Streams}
	clause := parent.Command("check", "check a configuration file").HelpLong(help)
	clause.Flag("canonical", "print the file with every field, sorted by name").BoolVar(&o.Canonical)
	asJSON := cli.JSONFlag(clause)
	clause.Arg("file", "configuration file, or - for standard input").Required().PlaceHolder("FILE").StringVar(&o.File)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(context.Context) error {
		o.JSON = *asJSON
		return run(o)
	}}
}

// Run checks the file. It returns an error if the file cannot be read or is
// invalid.
func Run(o Options) error {
	file, err := source.Read(o.Streams, o.File)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.Streams.WriteJSON(file.Config)
	}
	if o.Canonical {
		o.Streams.Printf("%s", conf.Render(file.Config))
		return nil
	}
	c := file.Config
	o.Streams.Printf("%s is accepted: %d workspaces, %d services, %d routes, %d zones, %d targets\n",
		file.Name, len(c.Workspaces), len(c.Services), len(c.Routes), len(c.Zones), len(c.Targets))
	return nil
}
