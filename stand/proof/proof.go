// Package proof brings about the failure behind each point that must always
// hold, with real processes under load, and prints one line a point.
package proof

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/host"
)

// Options are the inputs of stand proof.
type Options struct {
	// Only are the points to prove; all when empty.
	Only []string
	Bin  string
	// Examples is the directory of operators' files, keys and fleets.
	Examples string
	// Dir receives a directory for each point.
	Dir   string
	Block int
	Seed  uint64

	Streams command.Streams
}

// New declares stand proof.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "proof"
	opts := &Options{Streams: streams}
	c := app.Command(name, "bring about each failure that the fleet must bear and check that it did")
	c.Flag("only", "prove this point only; repeatable").StringsVar(&opts.Only)
	c.Flag("bin", "directory of the programs node, ggw and stand").Default(".bin").StringVar(&opts.Bin)
	c.Flag("examples", "directory of the example files").Default("examples").StringVar(&opts.Examples)
	c.Flag("dir", "directory for settings, outputs and logs; it must be new").Required().StringVar(&opts.Dir)
	c.Flag("block", "second part of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals and the faults").Default("1").Uint64Var(&opts.Seed)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run proves the chosen points one after the other and prints a line for each.
// It fails unless all are proved.
func Run(ctx context.Context, opts *Options) error {
	chosen, err := choose(Scenarios(), opts.Only)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	opts.printf("seed %d; %s\n", opts.Seed, host.LoadSummary())
	opts.printf(rowFormat, "Point", "Verdict", "Figure")
	open := 0
	for _, scenario := range chosen {
		begun := time.Now()
		result := prove(ctx, opts, scenario)
		if result.Verdict != Proved {
			open++
		}
		opts.printf(rowFormat, scenario.Point, result.Verdict, result.Figure)
		for _, example := range result.Examples {
			opts.explain("  %s: %s\n", scenario.Point, example)
		}
		opts.explain("  %s took %.0f s; %s\n", scenario.Point, time.Since(begun).Seconds(), host.LoadSummary())
	}
	if open > 0 {
		return fmt.Errorf("%d of %d points are not proved", open, len(chosen))
	}
	return nil
}

// rowFormat aligns the lines, which come one by one.
const rowFormat = "%-20s  %-7s  %s\n"

func choose(all []Scenario, only []string) ([]Scenario, error) {
	if len(only) == 0 {
		return all, nil
	}
	var chosen []Scenario
	for _, point := range only {
		found := false
		for _, scenario := range all {
			if strings.EqualFold(scenario.Point, point) {
				chosen = append(chosen, scenario)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("--only %s: there is no such point", point)
		}
	}
	return chosen, nil
}

// prove runs one scenario with a fleet of its own.
func prove(ctx context.Context, opts *Options, scenario Scenario) Result {
	dir := filepath.Join(opts.Dir, scenario.Point)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return notRun(err)
	}
	bench, err := newBench(opts, dir)
	if err != nil {
		return notRun(err)
	}
	if scenario.Prepare != nil {
		scenario.Prepare(bench)
	}
	if err := bench.start(ctx); err != nil {
		return notRun(err)
	}
	if err := errors.Join(bench.ready(ctx), scenario.Run(ctx, bench)); err != nil {
		return notRun(errors.Join(err, bench.Fleet.Stop()))
	}
	stopped := bench.Fleet.Stop()
	in, err := bench.logs()
	if err != nil {
		return notRun(err)
	}
	result := scenario.Judge(in)
	// A process that had ended on its own or had to be killed fails any point.
	if stopped != nil {
		result.fail("%s", stopped)
	}
	return result
}

func (o *Options) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Out, format, args...)
}

func (o *Options) explain(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Err, format, args...)
}
