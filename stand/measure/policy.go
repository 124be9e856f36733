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
	// zoneOutGrace is how long after a zone is taken out of service its targets
	// may still start new requests.
	zoneOutGrace = 3 * time.Second
	// coldGrace is how long after a target turns cold it may receive more
	// concurrent requests than it can work on while cold.
	coldGrace = 2 * time.Second
)

// Result holds the measures and the log check findings of one policy.
type Result struct {
	Policy string
	Report score.Report
	// Findings has one entry for each log check, in the same order for every
	// policy.
	Findings []check.Finding
	// ShutdownError joins the errors of processes that exited early or did not
	// stop gracefully; nil when there were none.
	ShutdownError error
}

// runPolicy starts a fleet with an admission policy, sends the load of the plan
// while applying its events, stops the fleet and checks the logs.
func runPolicy(ctx context.Context, opts *Options, policy string, layout *fleet.Layout, plan *load.Plan) (m Result, err error) {
	m.Policy = policy
	dir := filepath.Join(opts.Dir, policy)
	keysFile := filepath.Join(opts.Examples, opts.Deployment+".keys")
	keys, err := load.ReadKeys(keysFile)
	if err != nil {
		return m, err
	}
	configs, err := NewConfigWriter(filepath.Join(opts.Examples, opts.Deployment+".toml"), dir, opts.Divisor)
	if err != nil {
		return m, err
	}
	config, err := configs.Write("")
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
	player := &eventPlayer{fleet: f, plan: plan, configs: configs}
	m.Report, err = player.run(ctx, keys, &load.Options{
		Keys: keysFile, Config: config, Entries: f.EntryURLs(), Seed: opts.Seed, Log: loadLog,
	})
	m.ShutdownError = f.Stop()
	if err != nil {
		return m, errors.Join(err, m.ShutdownError)
	}
	m.Findings, err = checkLogs(check.Files{
		RunLogs: f.RunLogDir(), LoadLog: loadLog, Keys: keysFile, Configs: []string{config},
	}, player.outPeriods)
	return m, err
}

func checkLogs(logs check.Files, outPeriods []check.OutOfServicePeriod) ([]check.Finding, error) {
	in, err := check.Read(logs)
	if err != nil {
		return nil, err
	}
	in.OutOfServicePeriods, in.OutOfServiceGrace, in.ColdGrace = outPeriods, zoneOutGrace, coldGrace
	return check.All(in), nil
}

// eventPlayer applies the events of a plan, slow services and zones out of
// service, to a fleet while the load is sent.
type eventPlayer struct {
	fleet   *fleet.Fleet
	plan    *load.Plan
	configs *ConfigWriter
	// zoneOut is the zone out of service at present, or "".
	zoneOut string
	// outPeriods lists the periods in which targets were out of service.
	outPeriods []check.OutOfServicePeriod
}

// run waits until the fleet is ready, then sends the load and plays the events
// concurrently.
func (p *eventPlayer) run(ctx context.Context, keys map[string]string, opts *load.Options) (report score.Report, err error) {
	if err := p.fleet.AwaitReady(ctx, trial.Probes(p.plan, keys)); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	playErr := make(chan error, 1)
	go func() { playErr <- p.playEvents(ctx, time.Now()) }()
	report, err = load.Send(ctx, opts, p.plan)
	cancel()
	return report, errors.Join(err, <-playErr)
}

// playEvents starts each phase at its scheduled time, counted from start. It
// returns when the last phase has started or ctx ends.
func (p *eventPlayer) playEvents(ctx context.Context, start time.Time) error {
	for _, phase := range p.plan.Phase {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start)):
		}
		if err := p.startPhase(ctx, phase); err != nil {
			return fmt.Errorf("start phase %s: %w", phase.Name, err)
		}
		start = start.Add(time.Duration(phase.Duration))
	}
	return nil
}

// startPhase applies the service times and the zone out of service of a phase.
func (p *eventPlayer) startPhase(ctx context.Context, phase load.Phase) error {
	if err := p.setServiceTimes(ctx, phase); err != nil {
		return err
	}
	if phase.ZoneOut == p.zoneOut {
		return nil
	}
	file, err := p.configs.Write(phase.ZoneOut)
	if err != nil {
		return err
	}
	if err := p.fleet.Apply(ctx, file); err != nil {
		return err
	}
	p.recordZoneOut(phase.ZoneOut, time.Now().UnixMicro())
	return nil
}

// setServiceTimes multiplies the service times of the slow service of a phase by
// its factor and resets those of all other targets.
func (p *eventPlayer) setServiceTimes(ctx context.Context, phase load.Phase) error {
	for _, m := range p.fleet.VMs {
		for _, target := range m.Targets {
			factor := 1.0
			if target.Service == phase.SlowService {
				factor = phase.SlowFactor
			}
			if err := target.SetFault(ctx, "slow", fleet.Fault{Factor: factor}); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordZoneOut ends the open periods in outPeriods at the Unix time micros, in
// microseconds, and opens one for each target of zone, unless zone is "".
func (p *eventPlayer) recordZoneOut(zone string, micros int64) {
	for i := range p.outPeriods {
		if p.outPeriods[i].ToMicros > micros {
			p.outPeriods[i].ToMicros = micros
		}
	}
	p.zoneOut = zone
	if zone == "" {
		return
	}
	const forever = 1 << 62
	for _, target := range p.fleet.ZoneTargets(zone) {
		p.outPeriods = append(p.outPeriods, check.OutOfServicePeriod{Target: target, FromMicros: micros, ToMicros: forever})
	}
}
