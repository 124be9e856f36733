// Package diff implements the command ggw config diff.
package diff

import (
	"context"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/config/source"
)

const help = `The values of the two files are compared; their order and comments are ignored.
Each key digest that is added or removed is listed on a line of its own.
Columns: object, key, value in force, value in the file.

EXAMPLES
  $ ggw config diff --store http://10.0.0.2:2379 consorcio.toml
`

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams cli.Streams
	Store   gage.Store
	// File is a path, or "-" or "" for standard input.
	File string
	JSON bool
}

// Difference is the JSON output of the command.
type Difference struct {
	// Generation is the generation in force, or 0 if there is none.
	Generation int64
	Changes    []conf.Change
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(context.Context, Options) error) cli.Command {
	o := Options{Streams: env.Streams}
	clause := parent.Command("diff", "compare a configuration file with the one in force").HelpLong(help)
	store := cli.StoreFlag(clause)
	asJSON := cli.JSONFlag(clause)
	clause.Arg("file", "configuration file, or - for standard input").Required().PlaceHolder("FILE").StringVar(&o.File)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(ctx context.Context) error {
		o.Store, o.JSON = env.Store(*store), *asJSON
		return run(ctx, o)
	}}
}

// Run prints the differences between the configuration in force and the file.
func Run(ctx context.Context, o Options) error {
	file, err := source.Read(o.Streams, o.File)
	if err != nil {
		return err
	}
	inForce, err := source.InForce(ctx, o.Store)
	if err != nil {
		return err
	}
	changes := conf.Diff(inForce.Config, file.Config)
	if o.JSON {
		return o.Streams.WriteJSON(Difference{Generation: inForce.BaseGeneration, Changes: changes})
	}
	if len(changes) == 0 {
		o.Streams.PrintErrf("%s does not differ from generation %d, which is in force.", file.Name, inForce.BaseGeneration)
		return nil
	}
	table := cli.Table{Header: []string{"OBJECT", "KEY", "IN FORCE", "FILE"}}
	for _, c := range changes {
		table.Rows = append(table.Rows, []cli.Cell{
			{Text: c.Object},
			{Text: c.Key},
			{Text: c.Old, Color: cli.ColorRed},
			{Text: c.New, Color: cli.ColorGreen},
		})
	}
	table.Print(o.Streams)
	o.Streams.PrintErrf("Generation %d is in force; %d values differ.", inForce.BaseGeneration, len(changes))
	return nil
}
