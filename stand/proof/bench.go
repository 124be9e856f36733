package proof

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

const deployment = "consorcio"

// Bench is the fleet of one scenario with its files.
type Bench struct {
	// Layout and Config may be changed before the fleet starts.
	Layout *fleet.Layout
	Config *Config
	Fleet  *fleet.Fleet
	// Keys are the keys by workspace.
	Keys map[string]string
	// Sent are attempts that the scenario made by itself, besides the load.
	Sent []record.Sent
	// Rng draws the faults.
	Rng *rand.Rand

	opts      *Options
	dir       string
	keysFile  string
	firstFile string
	probes    []fleet.Probe
}

func newBench(opts *Options, dir string) (b *Bench, err error) {
	b = &Bench{
		opts: opts, dir: dir,
		Rng:      rand.New(rand.NewPCG(opts.Seed, 3)),
		keysFile: filepath.Join(opts.Examples, deployment+".keys"),
	}
	if b.Layout, err = fleet.ReadLayout(filepath.Join(opts.Examples, "fleets", deployment+".toml")); err != nil {
		return nil, err
	}
	if b.Config, err = readConfig(filepath.Join(opts.Examples, deployment+".toml"), dir); err != nil {
		return nil, err
	}
	b.Keys, err = load.ReadKeys(b.keysFile)
	if err != nil {
		return nil, err
	}
	for _, path := range []string{"/search/capsules", "/calendar/dates"} {
		b.probes = append(b.probes, fleet.Probe{Path: path, Key: b.Keys["casa-rioplata"]})
	}
	return b, nil
}

func (b *Bench) start(ctx context.Context) (err error) {
	if b.firstFile, err = b.Config.Write(); err != nil {
		return err
	}
	b.Fleet, err = fleet.Start(ctx, fleet.Options{
		Layout: b.Layout, Bin: b.opts.Bin, Dir: b.dir, Block: b.opts.Block, Config: b.firstFile,
	})
	return err
}

func (b *Bench) ready(ctx context.Context) error {
	return b.Fleet.AwaitReady(ctx, b.probes)
}

// Apply writes the changed configuration and applies it. It returns when the
// store had accepted it.
func (b *Bench) Apply(ctx context.Context, flags ...string) (time.Time, error) {
	file, err := b.Config.Write()
	if err != nil {
		return time.Time{}, err
	}
	err = b.Fleet.Apply(ctx, file, flags...)
	return time.Now(), err
}

// Send sends a plan through some entries, all when none are given.
func (b *Bench) Send(ctx context.Context, plan *load.Plan, retries int, entries ...string) error {
	if len(entries) == 0 {
		entries = b.Fleet.EntryURLs()
	}
	_, err := load.Send(ctx, &load.Options{
		Keys: b.keysFile, Config: b.firstFile, Entries: entries,
		Retries: retries, Seed: b.opts.Seed, Log: b.loadLog(),
	}, plan)
	return err
}

// During sends a plan through all entries while act runs.
func (b *Bench) During(ctx context.Context, plan *load.Plan, retries int, act func(ctx context.Context) error) error {
	acted := make(chan error, 1)
	go func() { acted <- act(ctx) }()
	err := b.Send(ctx, plan, retries)
	return errors.Join(err, <-acted)
}

// While sends a plan through all entries until act ends.
func (b *Bench) While(ctx context.Context, plan *load.Plan, retries int, act func(ctx context.Context) error) error {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	acted := make(chan error, 1)
	go func() {
		defer stop()
		acted <- act(ctx)
	}()
	err := b.Send(sending, plan, retries)
	return errors.Join(err, <-acted)
}

func (b *Bench) loadLog() string { return filepath.Join(b.dir, "load.jsonl") }

// logs reads what the callers were told and what the targets ran.
func (b *Bench) logs() (in check.Input, err error) {
	writer, err := record.Create(b.loadLog())
	if err != nil {
		return in, err
	}
	for _, sent := range b.Sent {
		writer.Write(sent)
	}
	if err := writer.Close(); err != nil {
		return in, err
	}
	if in.Runs, err = record.ReadRuns(b.Fleet.RunLogDir()); err != nil {
		return in, err
	}
	if in.Sent, err = record.ReadSent(b.loadLog()); err != nil {
		return in, err
	}
	in.Keys = b.Keys
	in.Limits, err = limits.Read(b.firstFile)
	return in, err
}

// sleep returns early when ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
