// Package soak runs a fleet under load for minutes while it injects random faults
// chosen from a seed: nodes are killed, frozen and restarted, the store fails,
// and targets are restarted or turn slow or cold. Then it checks all logs.
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
	// faultFreeLength is the time without faults at the end of the run. It
	// includes recoveryLength.
	faultFreeLength = 20 * time.Second
	// recoveryLength is the time after the last fault within which the fleet must
	// recover.
	recoveryLength = 10 * time.Second
	// minAnsweredShare is the share of the requests within the rate that must be
	// answered completely after the recovery.
	minAnsweredShare = 0.97
	callerRetries    = 2
	// coldGrace is how long a target that turned cold unannounced may receive
	// more than its cold concurrency.
	coldGrace = 2 * time.Second
)

// Options are the inputs of stand soak.
type Options struct {
	Deployment string
	Bin        string
	// Examples is the directory of configuration files, key files, load plans and
	// fleet layouts.
	Examples string
	Dir      string
	Block    int
	Seed     uint64
	// Settle is the time under load before faults are injected. At 0, faults begin
	// as soon as all nodes are ready.
	Settle time.Duration
	// Length is the time in which faults are injected.
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
	c.Flag("block", "second byte of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals and the faults").Default("1").Uint64Var(&opts.Seed)
	c.Flag("length", "time in which faults are injected").Default("2m").DurationVar(&opts.Length)
	c.Flag("settle", "time under load before faults are injected").Default("0s").DurationVar(&opts.Settle)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run starts the fleet, sends the load while it injects faults, stops the fleet
// and checks the logs. It returns an error if a check fails or the fleet did not
// recover.
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
	report, err := sendWithFaults(ctx, opts, f, plan, keys, &load.Options{
		Keys: keysFile, Config: config, Entries: f.EntryURLs(), Retries: callerRetries, Seed: opts.Seed, Log: loadLog,
	})
	runErr := errors.Join(err, f.Stop())
	if len(report.Phases) == 0 {
		return runErr
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%d nodes, seed %d, faults for %s; %s\n\n", len(f.VMs), opts.Seed, opts.Length, host.LoadSummary())
	if err := score.Print(opts.Streams.Out, report); err != nil {
		return err
	}
	return errors.Join(runErr, checkLogs(opts, check.Files{
		RunLogs: f.RunLogDir(), LoadLog: loadLog, Keys: keysFile, Configs: []string{config},
	}), checkRecovery(report))
}

func phases(settle, length time.Duration) []load.Phase {
	return []load.Phase{
		{Name: "Settle", Role: score.RolePlain, Duration: load.Duration(settle), Factor: 1},
		{Name: "Faults", Role: score.RolePlain, Duration: load.Duration(length), Factor: 1},
		{Name: "Recovery", Role: score.RolePlain, Duration: load.Duration(recoveryLength), Factor: 1},
		{Name: "Calm", Role: score.RolePlain, Duration: load.Duration(faultFreeLength - recoveryLength), Factor: 1},
	}
}

// sendWithFaults sends the load while an Injector injects faults. The faults are
// undone at the end of the phase Faults.
func sendWithFaults(ctx context.Context, opts *Options, f *fleet.Fleet, plan *load.Plan, keys map[string]string, loadOpts *load.Options) (report score.Report, err error) {
	if err := f.AwaitReady(ctx, trial.Probes(plan, keys)); err != nil {
		return report, err
	}
	faultLog, err := os.Create(filepath.Join(opts.Dir, "faults.log"))
	if err != nil {
		return report, fmt.Errorf("create fault log: %w", err)
	}
	defer func() { _ = faultLog.Close() }()
	injector := NewInjector(f, opts.Seed, io.MultiWriter(faultLog, opts.Streams.Err))
	injectErr := make(chan error, 1)
	go func() { injectErr <- injector.Run(ctx, opts.Settle, opts.Length) }()
	report, err = load.Send(ctx, loadOpts, plan)
	return report, errors.Join(err, <-injectErr)
}

func checkLogs(opts *Options, logs check.Files) error {
	input, err := check.Read(logs)
	if err != nil {
		return err
	}
	input.ColdGrace = coldGrace
	findings := check.All(input)
	_, _ = fmt.Fprintln(opts.Streams.Out)
	if err := check.Print(opts.Streams, findings); err != nil {
		return err
	}
	return check.Verdict(findings)
}

// checkRecovery returns an error unless minAnsweredShare of the requests within
// the rate were answered in the last phase.
func checkRecovery(report score.Report) error {
	last := report.Phases[len(report.Phases)-1]
	if last.Within == 0 {
		return errors.New("the last phase had no requests")
	}
	share := float64(last.Whole) / float64(last.Within)
	if share < minAnsweredShare {
		return fmt.Errorf("only %s of the requests within the rate were answered from %s after the last fault on",
			score.Percent(share), recoveryLength)
	}
	return nil
}
