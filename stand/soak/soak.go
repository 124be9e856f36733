// Package soak runs a fleet under load for minutes while faults drawn from a
// seed come at any moment: nodes are killed, frozen and restarted, the store
// fails, targets turn slow and cold. Then it checks all logs.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/host"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/score"
	"github.com/greengagewind/greengagewind/stand/trial"
)

const (
	// calmPhase is the time without faults at the end, in which the fleet has to
	// serve again.
	calmPhase = 20 * time.Second
	// calmGrace is how much of it the fleet may take to recover.
	calmGrace = 10 * time.Second
	// servedShare is the share of requests within the rate that must then be
	// answered whole.
	servedShare = 0.97
	retries     = 2
	coldGrace   = 2 * time.Second
)

// Options are the inputs of stand soak.
type Options struct {
	Deployment string
	Bin        string
	// Examples is the directory of operators' files, keys, plans and fleets.
	Examples string
	Dir      string
	Block    int
	Seed     uint64
	// Settle is how long the fleet serves before the first fault; at 0 faults
	// meet it while it forms.
	Settle time.Duration
	// Length is how long faults come.
	Length time.Duration

	Streams command.Streams
}

// New declares stand soak.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "soak"
	opts := &Options{Streams: streams}
	c := app.Command(name, "run a fleet under load and random faults and check its logs")
	c.Arg("deployment", "name of the files in the examples directory").Required().StringVar(&opts.Deployment)
	c.Flag("bin", "directory of the programs node, ggw and stand").Default(".bin").StringVar(&opts.Bin)
	c.Flag("examples", "directory of the example files").Default("examples").StringVar(&opts.Examples)
	c.Flag("dir", "directory for settings, outputs and logs; it must be new").Required().StringVar(&opts.Dir)
	c.Flag("block", "second part of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals and the faults").Default("1").Uint64Var(&opts.Seed)
	c.Flag("length", "how long faults come").Default("2m").DurationVar(&opts.Length)
	c.Flag("settle", "how long the fleet serves before the first fault").Default("0s").DurationVar(&opts.Settle)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run starts the fleet, sends the load with faults, stops the fleet and checks
// the logs.
func Run(ctx context.Context, opts *Options) error {
	config := filepath.Join(opts.Examples, opts.Deployment+".toml")
	keysFile := filepath.Join(opts.Examples, opts.Deployment+".keys")
	layout, err := fleet.ReadLayout(filepath.Join(opts.Examples, "fleets", opts.Deployment+".toml"))
	if err != nil {
		return &command.UsageError{Err: err}
	}
	plan, err := load.ReadPlan(filepath.Join(opts.Examples, "plans", opts.Deployment+".toml"))
	if err != nil {
		return &command.UsageError{Err: err}
	}
	keys, err := load.ReadKeys(keysFile)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	plan.Phase = phases(opts.Settle, opts.Length)
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: layout, Bin: opts.Bin, Dir: opts.Dir, Block: opts.Block, Config: config,
	})
	if err != nil {
		return err
	}
	loadLog := filepath.Join(opts.Dir, "load.jsonl")
	report, err := send(ctx, opts, f, plan, keys, &load.Options{
		Keys: keysFile, Config: config, Entries: f.EntryURLs(), Retries: retries, Seed: opts.Seed, Log: loadLog,
	})
	failed := errors.Join(err, f.Stop())
	if len(report.Phases) == 0 {
		return failed
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%d nodes, seed %d, faults for %s; %s\n\n", len(f.VMs), opts.Seed, opts.Length, host.Busy())
	if err := score.Print(opts.Streams.Out, report); err != nil {
		return err
	}
	return errors.Join(failed, checkLogs(opts, check.Files{
		RunLogs: f.RunLogDir(), LoadLog: loadLog, Keys: keysFile, Configs: []string{config},
	}), served(report))
}

func phases(settle, length time.Duration) []load.Phase {
	return []load.Phase{
		{Name: "Settle", Role: score.RolePlain, Duration: load.Duration(settle), Factor: 1},
		{Name: "Faults", Role: score.RolePlain, Duration: load.Duration(length), Factor: 1},
		{Name: "Recovery", Role: score.RolePlain, Duration: load.Duration(calmGrace), Factor: 1},
		{Name: "Calm", Role: score.RolePlain, Duration: load.Duration(calmPhase - calmGrace), Factor: 1},
	}
}

// send sends the load while faults come, and ends them all before the phases
// without faults.
func send(ctx context.Context, opts *Options, f *fleet.Fleet, plan *load.Plan, keys map[string]string, loadOpts *load.Options) (report score.Report, err error) {
	if err := f.AwaitReady(ctx, trial.Probes(plan, keys)); err != nil {
		return report, err
	}
	log, err := os.Create(filepath.Join(opts.Dir, "faults.log"))
	if err != nil {
		return report, fmt.Errorf("open log of faults: %w", err)
	}
	defer func() { _ = log.Close() }()
	faults := NewFaults(f, opts.Seed, io.MultiWriter(log, opts.Streams.Err))
	ended := make(chan error, 1)
	go func() { ended <- faults.Run(ctx, opts.Settle, opts.Length) }()
	report, err = load.Send(ctx, loadOpts, plan)
	return report, errors.Join(err, <-ended)
}

func checkLogs(opts *Options, logs check.Files) error {
	in, err := check.Read(logs)
	if err != nil {
		return err
	}
	in.ColdGrace = coldGrace
	findings := check.All(in)
	_, _ = fmt.Fprintln(opts.Streams.Out)
	if err := check.Print(opts.Streams, findings); err != nil {
		return err
	}
	return check.Verdict(findings)
}

// served returns an error when the fleet did not serve again in the last phase.
func served(report score.Report) error {
	last := report.Phases[len(report.Phases)-1]
	if last.Within == 0 {
		return errors.New("the last phase had no requests")
	}
	got := float64(last.Whole) / float64(last.Within)
	if got < servedShare {
		return fmt.Errorf("without faults only %s of the requests within the rate were answered, %s after the last fault",
			score.Percent(got), calmGrace)
	}
	return nil
}
