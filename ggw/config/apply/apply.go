// Package apply implements the command ggw config apply.
package apply

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/config/source"
)

const help = `The file replaces the whole configuration that it is based on. If another file
has replaced that configuration first, nothing is changed and the exit code is
3.

A file printed by ggw config show names the generation that it is based on in
its first line; --base sets it for any other file. With neither, the file is
applied as the first one of a new fleet.

If the store's reply is lost, ggw reads the configuration in force to find out
whether the file was applied. If that also fails until --timeout, the error
names the --id and --base with which the same command can be repeated safely:
the file is applied at most once.

With --node, the node writes the file to the store and then sends it to the
other nodes. The file then reaches the fleet even if the store fails right after
the write. If the node fails or does not know the outcome, ggw applies the
file to the store itself.

EXAMPLES
  # The first file of a new fleet.
  $ ggw config apply --store http://10.0.0.2:2379 consorcio.toml

  # A change to the file in force.
  $ ggw config show --store http://10.0.0.2:2379 > consorcio.toml
  $ $EDITOR consorcio.toml
  $ ggw config apply --store http://10.0.0.2:2379 consorcio.toml

  # A file from another source, based on generation 42.
  $ ggw config apply --store http://10.0.0.2:2379 --base 42 consorcio.toml
`

const (
	defaultTimeout = "30s"
	// idBytes is the number of random bytes in the ID of an apply.
	idBytes = 12
	// baseFromFile is the default of --base. It means that the first line of the
	// file names the generation that the file is based on.
	baseFromFile = "-1"
)

// errApplyNotRecorded is the cause of an unknown outcome when the last call to the
// store succeeded. The configuration in force lists the most recent applies. If this
// list does not reach back to the base generation, it cannot show whether the file
// was applied.
var errApplyNotRecorded = errors.New("the configuration in force has no record of this apply")

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams    cli.Streams
	Store      gage.Store
	NodeClient cli.NodeClient
	// Node is the host:port or URL of the operator API of the node that applies
	// the file. If it is "", the file is written to Store.
	Node   string
	Random io.Reader
	// File is a path, or "-" or "" for standard input.
	File string
	// BaseGeneration is the generation that the file is based on. If it is
	// negative, the first line of the file names the generation.
	BaseGeneration int64
	// ID identifies this apply. If it is "", a random ID is generated.
	ID string
	// Timeout limits the whole apply, including retries.
	Timeout time.Duration
	JSON    bool
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(context.Context, Options) error) cli.Command {
	o := Options{Streams: env.Streams, Random: env.Random, NodeClient: env.NodeClient}
	clause := parent.Command("apply", "apply a configuration file").HelpLong(help)
	store := cli.StoreFlag(clause)
	clause.Flag("node", "operator API address of a node that applies the file and sends it to the fleet").
		PlaceHolder("URL").Envar("GGW_NODE").StringVar(&o.Node)
	clause.Flag("base", "generation that the file is based on").PlaceHolder("GENERATION").
		Default(baseFromFile).Int64Var(&o.BaseGeneration)
	clause.Flag("id", "ID of an earlier apply whose reply was lost").PlaceHolder("ID").StringVar(&o.ID)
	clause.Flag("timeout", "time limit for the whole apply").PlaceHolder("30s").
		Default(defaultTimeout).DurationVar(&o.Timeout)
	asJSON := cli.JSONFlag(clause)
	clause.Arg("file", "configuration file, or - for standard input").Required().PlaceHolder("FILE").StringVar(&o.File)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(ctx context.Context) error {
		if o.Timeout <= 0 {
			return &cli.UsageError{Message: fmt.Sprintf("--timeout %s must be positive", o.Timeout)}
		}
		o.Store, o.JSON = env.Store(*store), *asJSON
		return run(ctx, o)
	}}
}

// Run applies the file and prints the outcome. It returns nil if the file was put in
// force, even if a later file has replaced it since, and otherwise an error.
func Run(ctx context.Context, o Options) error {
	file, err := source.Read(o.Streams, o.File)
	if err != nil {
		return err
	}
	if o.BaseGeneration < 0 {
		o.BaseGeneration = file.BaseGeneration
	}
	if o.ID == "" {
		if o.ID, err = newApplyID(o.Random); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	store := &recordingStore{Store: o.Store}
	result := o.applyText(ctx, store, file.Text)
	if o.JSON {
		if err := o.Streams.WriteJSON(result); err != nil {
			return err
		}
	}
	o.File = file.Name
	return o.report(result, store.lastErr)
}

// applyText applies the file through o.Node, if set. The node writes the file to the
// store and then sends it to the fleet. If o.Node is not set, the node fails or the
// node does not know the outcome, applyText writes the file to the store directly.
// This is safe, because an apply with the same ID and base takes effect at most
// once.
func (o Options) applyText(ctx context.Context, store gage.Store, text []byte) apply.Result {
	if o.Node != "" {
		result, err := o.NodeClient.Apply(ctx, o.Node, oper.ApplyRequest{File: text, Base: o.BaseGeneration, ID: o.ID})
		if err == nil && result.Outcome != apply.Unknown {
			return result
		}
		if err != nil {
			o.Streams.PrintErrf("ggw: %v; applying directly to the store instead", err)
		}
	}
	return apply.Run(ctx, store, text, o.BaseGeneration, o.ID)
}

// report prints the outcome of the apply or returns it as an error. storeErr is
// the error of the last call to the store, or nil.
func (o Options) report(result apply.Result, storeErr error) error {
	switch result.Outcome {
	case apply.Applied:
		if !o.JSON {
			o.Streams.Printf("generation %d is in force\n", result.Generation)
		}
		return nil
	case apply.Superseded:
		if !o.JSON {
			o.Streams.Printf("generation %d was in force and generation %d has replaced it\n",
				result.Generation, result.Current)
		}
		return nil
	case apply.Conflict:
		return fmt.Errorf("%w: %s is based on %s, but generation %d is in force and nothing was changed; "+
			"run ggw config diff, take over what the other operator changed, and apply with --base %d",
			cli.ErrConflict, o.File, describeGeneration(o.BaseGeneration), result.Current, result.Current)
	case apply.Unknown:
		if storeErr == nil {
			storeErr = errApplyNotRecorded
		}
		return fmt.Errorf("the store did not confirm whether %s is in force (%w); "+
			"run the same command again with --id %s --base %d", o.File, storeErr, o.ID, o.BaseGeneration)
	default:
		return fmt.Errorf("%s was not applied: %s", o.File, result.Detail)
	}
}

func describeGeneration(generation int64) string {
	if generation == 0 {
		return "no generation"
	}
	return fmt.Sprintf("generation %d", generation)
}

func newApplyID(random io.Reader) (string, error) {
	var id [idBytes]byte
	if _, err := io.ReadFull(random, id[:]); err != nil {
		return "", fmt.Errorf("generate an ID for this apply: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}
