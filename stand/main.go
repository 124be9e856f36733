// Command stand runs the stand-ins that greengagewind is tried with: targets,
// callers, the key-value store and the checks of their logs.
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

// commands lists every subcommand, one a line.
var commands = []command.Constructor{
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
	app := kingpin.New("stand", "run the stand-ins that greengagewind is tried with")
	app.UsageWriter(streams.Err).ErrorWriter(streams.Err)
	app.HelpFlag.Short('h')
	runs := make(map[string]command.Run, len(commands))
	for _, declare := range commands {
		name, subcommand := declare(app, streams)
		runs[name] = subcommand
	}
	chosen, err := app.Parse(args)
	if err != nil {
		app.Errorf("%s, try --help", err)
		return command.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := runs[chosen](ctx); err != nil {
		_, _ = fmt.Fprintf(streams.Err, "stand %s: %s\n", chosen, err)
		return command.ExitCode(err)
	}
	return command.ExitOK
}
