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

// Harness holds the fleet and the files of one scenario.
type Harness struct {
	// Layout and Config may be changed until the fleet starts. Apply applies
	// later changes to Config.
	Layout *fleet.Layout
	Config *Config
	Fleet  *fleet.Fleet
	// Keys maps workspaces to their keys.
	Keys map[string]string
	// Sent holds the attempts that the scenario made itself, without the load
	// generator.
	Sent []record.Sent
	// Rng chooses the faults and is seeded with the --seed flag.
	Rng *rand.Rand

	opts          *Options
	dir           string
	keysFile      string
	initialConfig string
	probes        []fleet.Probe
}

func newHarness(opts *Options, dir string) (h *Harness, err error) {
	h = &Harness{
		opts: opts, dir: dir,
		Rng:      rand.New(rand.NewPCG(opts.Seed, 3)),
		keysFile: filepath.Join(opts.Examples, deployment+".keys"),
	}
	if h.Layout, err = fleet.ReadLayout(filepath.Join(opts.Examples, "fleets", deployment+".toml")); err != nil {
		return nil, err
	}
	if h.Config, err = readConfig(filepath.Join(opts.Examples, deployment+".toml"), dir); err != nil {
		return nil, err
	}
	h.Keys, err = load.ReadKeys(h.keysFile)
	if err != nil {
		return nil, err
	}
	for _, path := range []string{"/search/capsules", "/calendar/dates"} {
		h.probes = append(h.probes, fleet.Probe{Path: path, Key: h.Keys["casa-rioplata"]})
	}
	return h, nil
}

func (h *Harness) start(ctx context.Context) (err error) {
	if h.initialConfig, err = h.Config.Write(); err != nil {
		return err
	}
	h.Fleet, err = fleet.Start(ctx, fleet.Options{
		Layout: h.Layout, Bin: h.opts.Bin, Dir: h.dir, Block: h.opts.Block, Config: h.initialConfig,
	})
	return err
}

func (h *Harness) awaitReady(ctx context.Context) error {
	return h.Fleet.AwaitReady(ctx, h.probes)
}

// Apply writes the changed configuration and applies it with the given flags of
// ggw config apply. It returns the time at which the apply ended.
func (h *Harness) Apply(ctx context.Context, flags ...string) (time.Time, error) {
	file, err := h.Config.Write()
	if err != nil {
		return time.Time{}, err
	}
	err = h.Fleet.Apply(ctx, file, flags...)
	return time.Now(), err
}

// Send sends the load of a plan to the given entry URLs, or to those of all
// nodes if none are given. A caller retries up to retries times.
func (h *Harness) Send(ctx context.Context, plan *load.Plan, retries int, entries ...string) error {
	if len(entries) == 0 {
		entries = h.Fleet.EntryURLs()
	}
	_, err := load.Send(ctx, &load.Options{
		Keys: h.keysFile, Config: h.initialConfig, Entries: entries,
		Retries: retries, Seed: h.opts.Seed, Log: h.loadLog(),
	}, plan)
	return err
}

// During sends the whole load of a plan to all nodes while act runs, and waits
// for both.
func (h *Harness) During(ctx context.Context, plan *load.Plan, retries int, act func(ctx context.Context) error) error {
	actErr := make(chan error, 1)
	go func() { actErr <- act(ctx) }()
	err := h.Send(ctx, plan, retries)
	return errors.Join(err, <-actErr)
}

// While sends the load of a plan to all nodes until act returns or the plan
// ends, and waits for both.
func (h *Harness) While(ctx context.Context, plan *load.Plan, retries int, act func(ctx context.Context) error) error {
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	actErr := make(chan error, 1)
	go func() {
		defer stop()
		actErr <- act(ctx)
	}()
	err := h.Send(sendCtx, plan, retries)
	return errors.Join(err, <-actErr)
}

func (h *Harness) loadLog() string { return filepath.Join(h.dir, "load.jsonl") }

// logs adds h.Sent to the load log and reads the load log, the run logs of the
// targets, the keys and the limits.
func (h *Harness) logs() (in check.Input, err error) {
	writer, err := record.Create(h.loadLog())
	if err != nil {
		return in, err
	}
	for _, sent := range h.Sent {
		writer.Write(sent)
	}
	if err := writer.Close(); err != nil {
		return in, err
	}
	if in.Runs, err = record.ReadRuns(h.Fleet.RunLogDir()); err != nil {
		return in, err
	}
	if in.Sent, err = record.ReadSent(h.loadLog()); err != nil {
		return in, err
	}
	in.Keys = h.Keys
	in.Limits, err = limits.Read(h.initialConfig)
	return in, err
}

// sleep waits for length, or until ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
