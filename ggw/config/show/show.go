// Package show implements the command ggw config show.
package show

import (
	"context"
	"errors"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/config/source"
)

const help = `The file is printed as it was applied, after a comment line that names its
generation. When the edited file is applied, ggw config apply reads the
generation from this line and rejects the file if another one has been applied
in the meantime.

EXAMPLES
  $ ggw config show --store http://10.0.0.2:2379 > consorcio.toml
  $ ggw config show --store http://10.0.0.2:2379 --canonical
`

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams cli.Streams
	Store   gage.Store
	// Canonical prints the file with every field. By default the file is printed
	// as it was applied.
	Canonical bool
	// JSON prints the configuration as JSON. It takes precedence over Canonical.
	JSON bool
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(context.Context, Options) error) cli.Command {
	o := Options{Streams: env.Streams}
	clause := parent.Command("show", "print the configuration file in force").HelpLong(help)
	store := cli.StoreFlag(clause)
	clause.Flag("canonical", "print the file with every field, sorted by name").BoolVar(&o.Canonical)
	asJSON := cli.JSONFlag(clause)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(ctx context.Context) error {
		o.Store, o.JSON = env.Store(*store), *asJSON
		return run(ctx, o)
	}}
}

// Run prints the file in force. It returns an error if there is none.
func Run(ctx context.Context, o Options) error {
	file, err := source.InForce(ctx, o.Store)
	if err != nil {
		return err
	}
	if file.BaseGeneration == 0 {
		return errors.New("no configuration is in force yet; apply the first one with ggw config apply")
	}
	if o.JSON {
		return o.Streams.WriteJSON(file.Config)
	}
	text := file.Text
	if o.Canonical {
		text = conf.Render(file.Config)
	}
	o.Streams.Printf("%s", source.PrependGeneration(file.BaseGeneration, text))
	return nil
}
