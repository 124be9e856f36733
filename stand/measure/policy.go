package measure

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/score"
	"github.com/greengagewind/greengagewind/stand/trial"
)

const (
	// outGrace is how long new work may still reach a zone that was taken out.
	outGrace = 3 * time.Second
	// coldGrace is how long a target that turned cold may be overrun.
	coldGrace = 2 * time.Second
)

// Measured is what one policy came to.
type Measured struct {
	Policy   string
	Report   score.Report
	Findings []check.Finding
	// Failed is what went wrong with a process, such as a node that ended on
	// its own; nil when each stopped gracefully.
	Failed error
}

// runPolicy starts a fleet with a policy, sends the plan with its events, stops
// the fleet and checks the logs.
func runPolicy(ctx context.Context, opts *Options, policy string, layout *fleet.Layout, plan *load.Plan) (m Measured, err error) {
	m.Policy = policy
	dir := filepath.Join(opts.Dir, policy)
	keysFile := filepath.Join(opts.Examples, opts.Deployment+".keys")
	keys, err := load.ReadKeys(keysFile)
	if err != nil {
		return m, err
	}
	files, err := NewConfigs(filepath.Join(opts.Examples, opts.Deployment+".toml"), dir, opts.Divisor)
	if err != nil {
		return m, err
	}
	config, err := files.Write("")
	if err != nil {
		return m, err
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: layout, Bin: opts.Bin, Dir: dir, Block: opts.Block, Policy: policy, Config: config,
	})
	if err != nil {
		return m, err
	}
	loadLog := filepath.Join(dir, "load.jsonl")
	d := &director{fleet: f, plan: plan, configs: files}
	m.Report, err = d.run(ctx, keys, &load.Options{
		Keys: keysFile, Config: config, Entries: f.EntryURLs(), Seed: opts.Seed, Log: loadLog,
	})
	m.Failed = f.Stop()
	if err != nil {
		return m, errors.Join(err, m.Failed)
	}
	m.Findings, err = checkLogs(check.Files{
		RunLogs: f.RunLogDir(), LoadLog: loadLog, Keys: keysFile, Configs: []string{config},
	}, d.outs)
	return m, err
}

func checkLogs(logs check.Files, outs []check.Out) ([]check.Finding, error) {
	in, err := check.Read(logs)
	if err != nil {
		return nil, err
	}
	in.Outs, in.OutGrace, in.ColdGrace = outs, outGrace, coldGrace
	return check.All(in), nil
}

// director carries out the events of a plan while it is sent.
type director struct {
	fleet   *fleet.Fleet
	plan    *load.Plan
	configs *Configs
	// zoneOut is the zone now out of service, or "".
	zoneOut string
	outs    []check.Out
}

func (d *director) run(ctx context.Context, keys map[string]string, opts *load.Options) (report score.Report, err error) {
	if err := d.fleet.AwaitReady(ctx, trial.Probes(d.plan, keys)); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	played := make(chan error, 1)
	go func() { played <- d.play(ctx, time.Now()) }()
	report, err = load.Send(ctx, opts, d.plan)
	cancel()
	return report, errors.Join(err, <-played)
}

// play carries out the events of each phase at its start, until the last phase
// has begun or ctx ends.
func (d *director) play(ctx context.Context, start time.Time) error {
	for _, phase := range d.plan.Phase {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start)):
		}
		if err := d.begin(ctx, phase); err != nil {
			return fmt.Errorf("begin phase %s: %w", phase.Name, err)
		}
		start = start.Add(time.Duration(phase.Duration))
	}
	return nil
}

func (d *director) begin(ctx context.Context, phase load.Phase) error {
	if err := d.slow(ctx, phase); err != nil {
		return err
	}
	if phase.ZoneOut == d.zoneOut {
		return nil
	}
	file, err := d.configs.Write(phase.ZoneOut)
	if err != nil {
		return err
	}
	if err := d.fleet.Apply(ctx, file); err != nil {
		return err
	}
	d.mark(phase.ZoneOut, time.Now().UnixMicro())
	return nil
}

// slow sets the service time factor of every target to that of the phase.
func (d *director) slow(ctx context.Context, phase load.Phase) error {
	for _, m := range d.fleet.VMs {
		for _, back := range m.Targets {
			factor := 1.0
			if back.Service == phase.SlowService {
				factor = phase.SlowFactor
			}
			if err := back.SetFault(ctx, "slow", fleet.Fault{Factor: factor}); err != nil {
				return err
			}
		}
	}
	return nil
}

// mark notes from when on which targets are out of service.
func (d *director) mark(zone string, micros int64) {
	for i := range d.outs {
		if d.outs[i].ToMicros > micros {
			d.outs[i].ToMicros = micros
		}
	}
	d.zoneOut = zone
	if zone == "" {
		return
	}
	const forever = 1 << 62
	for _, target := range d.fleet.ZoneTargets(zone) {
		d.outs = append(d.outs, check.Out{Target: target, FromMicros: micros, ToMicros: forever})
	}
}
