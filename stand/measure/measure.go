// Package measure prints the five measures of the brief for the product and
// for baselines: each policy gets a fleet of its own with the same targets,
// the same arrivals and the same events.
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
	// Policies are run one after the other.
	Policies []string
	Bin      string
	// Examples is the directory of operators' files, keys, plans and fleets.
	Examples string
	Dir      string
	Block    int
	Seed     uint64
	// Divisor divides the slots of the full fleet, Stretch multiplies its
	// service times.
	Divisor float64
	Stretch float64

	Streams command.Streams
}

// New declares stand measure.
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
	c.Flag("block", "second part of the loopback addresses used").Default("0").IntVar(&opts.Block)
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

// Run measures every policy and prints one table.
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
	var measured []Measured
	for _, policy := range opts.Policies {
		m, err := runPolicy(ctx, opts, policy, layout, plan)
		if err != nil {
			return fmt.Errorf("policy %s: %w", policy, err)
		}
		measured = append(measured, m)
	}
	_, err = fmt.Fprintf(opts.Streams.Out,
		"%s: %d VMs of the full fleet, slots divided by %g, service times multiplied by %g, seed %d; %s\n\n",
		opts.Deployment, len(layout.VM), opts.Divisor, opts.Stretch, opts.Seed, host.LoadSummary())
	if err != nil {
		return err
	}
	heading, rows := tabulate(measured)
	if err := table.Write(opts.Streams.Out, heading, rows); err != nil {
		return err
	}
	return verdict(measured)
}
