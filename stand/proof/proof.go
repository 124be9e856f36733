// Package proof checks the guarantees of the fleet, called points, such as
// AtMostOnce. For each point it starts real processes under load, injects the
// failures that could break the guarantee, evaluates the logs and prints one
// line with the verdict.
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
	// Only lists the points to check; all points when empty.
	Only []string
	Bin  string
	// Examples is the directory of configuration files, key files and fleet
	// layouts.
	Examples string
	// Dir is the parent of the output directories, one for each point.
	Dir   string
	Block int
	Seed  uint64

	Streams command.Streams
}

// New declares stand proof.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "proof"
	opts := &Options{Streams: streams}
	c := app.Command(name, "inject each failure that the fleet must tolerate and check its guarantees")
	c.Flag("only", "check this point only; repeatable").StringsVar(&opts.Only)
	c.Flag("bin", "directory of the programs node, ggw and stand").Default(".bin").StringVar(&opts.Bin)
	c.Flag("examples", "directory of the example files").Default("examples").StringVar(&opts.Examples)
	c.Flag("dir", "directory for settings, outputs and logs; it must be new").Required().StringVar(&opts.Dir)
	c.Flag("block", "second byte of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals and the faults").Default("1").Uint64Var(&opts.Seed)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run checks the chosen points one after the other and prints a line for each.
// It returns an error unless all points are proved.
func Run(ctx context.Context, opts *Options) error {
	chosen, err := choose(Scenarios(), opts.Only)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	opts.printf("seed %d; %s\n", opts.Seed, host.LoadSummary())
	opts.printf(rowFormat, "Point", "Verdict", "Figure")
	unproved := 0
	for _, scenario := range chosen {
		started := time.Now()
		result := prove(ctx, opts, scenario)
		if result.Verdict != Proved {
			unproved++
		}
		opts.printf(rowFormat, scenario.Point, result.Verdict, result.Figure)
		for _, example := range result.Examples {
			opts.detailf("  %s: %s\n", scenario.Point, example)
		}
		opts.detailf("  %s took %.0f s; %s\n", scenario.Point, time.Since(started).Seconds(), host.LoadSummary())
	}
	if unproved > 0 {
		return fmt.Errorf("%d of %d points are not proved", unproved, len(chosen))
	}
	return nil
}

// rowFormat has fixed column widths because each row is printed as soon as its
// scenario ends.
const rowFormat = "%-20s  %-7s  %s\n"

func choose(all []Scenario, only []string) ([]Scenario, error) {
	if len(only) == 0 {
		return all, nil
	}
	var chosen []Scenario
	for _, name := range only {
		found := false
		for _, scenario := range all {
			if strings.EqualFold(scenario.Point, name) {
				chosen = append(chosen, scenario)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("--only %s: unknown point", name)
		}
	}
	return chosen, nil
}

// prove runs one scenario on a newly started fleet and stops the fleet.
func prove(ctx context.Context, opts *Options, scenario Scenario) Result {
	dir := filepath.Join(opts.Dir, scenario.Point)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return notRun(err)
	}
	harness, err := newHarness(opts, dir)
	if err != nil {
		return notRun(err)
	}
	if scenario.Prepare != nil {
		scenario.Prepare(harness)
	}
	if err := harness.start(ctx); err != nil {
		return notRun(err)
	}
	if err := errors.Join(harness.awaitReady(ctx), scenario.Run(ctx, harness)); err != nil {
		return notRun(errors.Join(err, harness.Fleet.Stop()))
	}
	stopErr := harness.Fleet.Stop()
	in, err := harness.logs()
	if err != nil {
		return notRun(err)
	}
	result := scenario.Judge(in)
	// Stop returns an error if a process exited unexpectedly, failed or had to
	// be killed. That fails every point.
	if stopErr != nil {
		result.fail("%s", stopErr)
	}
	return result
}

func (o *Options) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Out, format, args...)
}

func (o *Options) detailf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Err, format, args...)
}
