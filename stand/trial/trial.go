// Package trial runs an end-to-end test on one machine: it starts a fleet of nodes
// with stand-ins, sends mixed load well below capacity, stops every process
// gracefully and checks all logs.
package trial

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/host"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/score"
)

// Options are the inputs of stand trial.
type Options struct {
	Deployment string
	Bin        string
	// Examples is the directory of configuration files, key files, load plans and
	// fleet layouts.
	Examples string
	Dir      string
	Block    int
	Seed     uint64

	Streams command.Streams
}

// New declares stand trial.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "trial"
	opts := &Options{Streams: streams}
	c := app.Command(name, "run a fleet under mixed load and check its logs")
	c.Arg("deployment", "name of the files in the examples directory").Required().StringVar(&opts.Deployment)
	c.Flag("bin", "directory of the programs node, ggw and stand").Default(".bin").StringVar(&opts.Bin)
	c.Flag("examples", "directory of the example files").Default("examples").StringVar(&opts.Examples)
	c.Flag("dir", "directory for settings, outputs and logs; it must be new").Required().StringVar(&opts.Dir)
	c.Flag("block", "second byte of the loopback addresses used").Default("0").IntVar(&opts.Block)
	c.Flag("seed", "seed of the arrivals").Default("1").Uint64Var(&opts.Seed)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// files holds the paths of the example files of a deployment.
type files struct {
	config string
	keys   string
	plan   string
	layout string
}

func (o *Options) files() files {
	return files{
		config: filepath.Join(o.Examples, o.Deployment+".toml"),
		keys:   filepath.Join(o.Examples, o.Deployment+".keys"),
		plan:   filepath.Join(o.Examples, "plans", o.Deployment+".toml"),
		layout: filepath.Join(o.Examples, "fleets", o.Deployment+".toml"),
	}
}

// Run starts the fleet, sends the load, stops all processes and checks the logs.
// It returns an error if a process did not stop gracefully or a check fails.
func Run(ctx context.Context, opts *Options) error {
	paths := opts.files()
	layout, err := fleet.ReadLayout(paths.layout)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	plan, err := load.ReadPlan(paths.plan)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	keys, err := load.ReadKeys(paths.keys)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	started := time.Now()
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: layout, Bin: opts.Bin, Dir: opts.Dir, Block: opts.Block, Config: paths.config,
	})
	if err != nil {
		return err
	}
	loadLog := filepath.Join(opts.Dir, "load.jsonl")
	report, err := sendLoad(ctx, f, plan, &load.Options{
		Keys: paths.keys, Config: paths.config, Seed: opts.Seed, Log: loadLog,
	}, keys)
	stopErr := f.Stop()
	if err != nil {
		return errors.Join(err, stopErr)
	}
	opts.printf("%d nodes and %d targets, seed %d, %.0f s in all; %s\n\n",
		len(f.VMs), countTargets(f), opts.Seed, time.Since(started).Seconds(), host.LoadSummary())
	if err := score.Print(opts.Streams.Out, report); err != nil {
		return err
	}
	return errors.Join(stopErr, checkLogs(opts, check.Files{
		RunLogs: f.RunLogDir(), LoadLog: loadLog, Keys: paths.keys, Configs: []string{paths.config},
	}))
}

func sendLoad(ctx context.Context, f *fleet.Fleet, plan *load.Plan, opts *load.Options, keys map[string]string) (score.Report, error) {
	if err := f.AwaitReady(ctx, Probes(plan, keys)); err != nil {
		return score.Report{}, err
	}
	opts.Entries = f.EntryURLs()
	for _, target := range f.Targets(plan.DirectService) {
		opts.Direct = append(opts.Direct, target.URL)
	}
	return load.Send(ctx, opts, plan)
}

// Probes returns one probe for each path of an idempotent request in the plan
// that requires a key. It contains the key of the first workspace in the plan that
// sends the request.
func Probes(plan *load.Plan, keys map[string]string) []fleet.Probe {
	seen := make(map[string]bool)
	var probes []fleet.Probe
	for _, workspace := range plan.Workspace {
		for _, request := range workspace.Request {
			if request.Idempotent && !request.Open && !seen[request.Path] {
				seen[request.Path] = true
				probes = append(probes, fleet.Probe{Path: request.Path, Key: keys[workspace.Name]})
			}
		}
	}
	return probes
}

func checkLogs(opts *Options, logs check.Files) error {
	input, err := check.Read(logs)
	if err != nil {
		return err
	}
	input.ExpectNoFailures = true
	findings := check.All(input)
	opts.printf("\n")
	if err := check.Print(opts.Streams, findings); err != nil {
		return err
	}
	return check.Verdict(findings)
}

func countTargets(f *fleet.Fleet) int {
	count := 0
	for _, vm := range f.VMs {
		count += len(vm.Targets)
	}
	return count
}

func (o *Options) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Out, format, args...)
}
