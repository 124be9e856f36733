// Package measure compares admission policies by five measures: goodput,
// recovery time, the share of requests served to the worst-served workspace, the
// share of attempts within the rate limit that were refused, and the share served
// while a zone was out of service. Each policy runs on a fleet of its own with the
// same targets, the same arrivals and the same events.
package measure

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/host"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/table"
)

// Options are the inputs of stand measure.
type Options struct {
	Deployment string
	// Policies are run one after another. Only the first must pass the log
	// checks; the others are baselines.
	Policies []string
	// Bin is the directory of the programs node, ggw and stand.
	Bin string
	// Examples is the directory of configuration files, keys, plans and fleets.
	Examples string
	// Dir is the directory for settings, outputs and logs, with a folder for
	// each policy.
	Dir string
	// Block is the second byte of the loopback addresses.
	Block int
	// Seed determines the arrivals.
	Seed uint64
	// Divisor divides the slots of the full fleet and is at least 1. Stretch
	// multiplies the service times and is above 0.
	Divisor float64
	Stretch float64

	Streams command.Streams
}

// New declares the subcommand "stand measure" and returns its name and action.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "measure"
	opts := &Options{Streams: streams}
	var policies string
	c := app.Command(name, "print the measures for the product and for baselines")
	c.Arg("deployment", "name of the files in the examples directory").Required().StringVar(&opts.Deployment)
	c.Flag("policies", "policies to run, separated by commas").Default("Adaptive,Fixed,None").StringVar(&policies)
	c.Flag("bin", "directory of the programs node, ggw and stand").Default(".bin").StringVar(&opts.Bin)
	c.Flag("examples", "directory of the example files").Default("examples").StringVar(&opts.Examples)
	c.Flag("dir", "directory for settings, outputs and logs; it must be new").Required().StringVar(&opts.Dir)
	c.Flag("block", "second byte of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals").Default("1").Uint64Var(&opts.Seed)
	c.Flag("divide-slots", "divide the slots of every target by this").Default("5").Float64Var(&opts.Divisor)
	c.Flag("stretch-times", "multiply every service time by this").Default("1").Float64Var(&opts.Stretch)
	return name, func(ctx context.Context) error {
		opts.Policies = strings.Split(policies, ",")
		if opts.Divisor < 1 || opts.Stretch <= 0 {
			return &command.UsageError{Err: errors.New("--divide-slots must be at least 1 and --stretch-times above 0")}
		}
		return Run(ctx, opts)
	}
}

// Run measures every policy and prints one table. It returns an error when a
// process failed or when the log checks of the first policy found a violation.
func Run(ctx context.Context, opts *Options) error {
	plan, err := load.ReadPlan(filepath.Join(opts.Examples, "plans", opts.Deployment+"-surge.toml"))
	if err != nil {
		return &command.UsageError{Err: err}
	}
	layout, err := fleet.ReadLayout(filepath.Join(opts.Examples, "fleets", opts.Deployment+"-full.toml"))
	if err != nil {
		return &command.UsageError{Err: err}
	}
	layout.Scale(opts.Divisor, opts.Stretch)
	var results []Result
	for _, policy := range opts.Policies {
		m, err := runPolicy(ctx, opts, policy, layout, plan)
		if err != nil {
			return fmt.Errorf("policy %s: %w", policy, err)
		}
		results = append(results, m)
	}
	_, err = fmt.Fprintf(opts.Streams.Out,
		"%s: %d VMs of the full fleet, slots divided by %g, service times multiplied by %g, seed %d; %s\n\n",
		opts.Deployment, len(layout.VM), opts.Divisor, opts.Stretch, opts.Seed, host.LoadSummary())
	if err != nil {
		return err
	}
	heading, rows := tabulate(results)
	if err := table.Write(opts.Streams.Out, heading, rows); err != nil {
		return err
	}
	return checkResults(results)
}
