// Command stand runs the stand-ins that greengagewind is tested with (targets,
// callers and the key-value store), the checks of their logs, and trials of a
// whole fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/days"
	"github.com/greengagewind/greengagewind/stand/grind"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/measure"
	"github.com/greengagewind/greengagewind/stand/proof"
	"github.com/greengagewind/greengagewind/stand/soak"
	"github.com/greengagewind/greengagewind/stand/store"
	"github.com/greengagewind/greengagewind/stand/target"
	"github.com/greengagewind/greengagewind/stand/trial"
)

// constructors holds the constructor of every subcommand, one per line.
var constructors = []command.Constructor{
	check.New,
	days.New,
	load.New,
	measure.New,
	grind.New,
	proof.New,
	soak.New,
	target.New,
	trial.New,
	store.Command,
}

func main() {
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(run(os.Args[1:], streams))
}

func run(args []string, streams command.Streams) int {
	app := kingpin.New("stand", "run the stand-ins and trials that greengagewind is tested with")
	app.UsageWriter(streams.Err).ErrorWriter(streams.Err)
	app.HelpFlag.Short('h')
	runByName := make(map[string]command.Run, len(constructors))
	for _, declare := range constructors {
		name, subcommand := declare(app, streams)
		runByName[name] = subcommand
	}
	selected, err := app.Parse(args)
	if err != nil {
		app.Errorf("%s, try --help", err)
		return command.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := runByName[selected](ctx); err != nil {
		_, _ = fmt.Fprintf(streams.Err, "stand %s: %s\n", selected, err)
		return command.ExitCode(err)
	}
	return command.ExitOK
}
