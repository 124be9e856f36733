package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/greengagewind/greengagewind/stand/fleet"
)

const (
	minFaultGap = 500 * time.Millisecond
	maxFaultGap = 4 * time.Second
	// maxActive is the maximum number of concurrently active faults.
	maxActive   = 3
	stopTimeout = 25 * time.Second
)

// Injector injects faults into a running fleet. The seed determines the random
// choices. It is not safe for concurrent use.
type Injector struct {
	fleet *fleet.Fleet
	rng   *rand.Rand
	log   io.Writer
	start time.Time
	// active maps the names of the affected VMs and targets, and "store",
	// to their active faults.
	active map[string]fault
}

// fault is an active fault. It lasts until the time until; undo ends it.
type fault struct {
	until time.Time
	undo  func(ctx context.Context) error
}

// NewInjector returns an injector for a running fleet. It writes a line to log
// for each fault that begins or ends.
func NewInjector(f *fleet.Fleet, seed uint64, log io.Writer) *Injector {
	return &Injector{
		fleet:  f,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		log:    log,
		active: make(map[string]fault),
	}
}

// Run waits for settle, injects faults for length and then undoes those that are
// still active. If ctx ends, it stops early, but undoes them as well. It returns
// at once with the first error of an injection or of an undo.
func (i *Injector) Run(ctx context.Context, settle, length time.Duration) error {
	i.start = time.Now().Add(settle)
	if !wait(ctx, i.start) {
		return nil
	}
	end := i.start.Add(length)
	nextFault := i.start.Add(i.randomDuration(minFaultGap, maxFaultGap))
	for {
		wake := i.nextWake(nextFault)
		if wake.After(end) || !wait(ctx, wake) {
			break
		}
		if err := i.undoExpired(ctx, wake); err != nil {
			return err
		}
		if !wake.Before(nextFault) {
			if err := i.inject(ctx); err != nil {
				return err
			}
			nextFault = time.Now().Add(i.randomDuration(minFaultGap, maxFaultGap))
		}
	}
	wait(ctx, end)
	// Undo the remaining faults even if ctx has ended.
	return i.undoExpired(context.WithoutCancel(ctx), end.Add(time.Hour))
}

// inject injects a random fault unless maxActive faults are active, or the chosen
// VM, target or store already has an active fault. Turning a target cold is not
// tracked in active, so a target with an active fault can turn cold as well.
func (i *Injector) inject(ctx context.Context) error {
	injectFuncs := []func(context.Context) error{
		i.killNode, i.killNode, i.freezeNode, i.freezeNode, i.restartNode,
		i.injectStoreFault, i.makeTargetCold, i.slowTarget, i.restartTarget,
	}
	injectFault := injectFuncs[i.rng.IntN(len(injectFuncs))]
	if len(i.active) >= maxActive {
		return nil
	}
	return injectFault(ctx)
}

func (i *Injector) killNode(context.Context) error {
	m, free := i.randomVM()
	length := i.randomDuration(100*time.Millisecond, 4*time.Second)
	if !free {
		return nil
	}
	i.logf("kill node %s for %s", m.Name, length)
	m.Node.Kill()
	i.activate(m.Name, length, func(context.Context) error { return i.fleet.StartNode(m) })
	return nil
}

func (i *Injector) freezeNode(context.Context) error {
	m, free := i.randomVM()
	length := i.randomDuration(200*time.Millisecond, 10*time.Second)
	if !free {
		return nil
	}
	i.logf("freeze node %s for %s", m.Name, length)
	i.activate(m.Name, length, func(context.Context) error { return m.Node.Signal(syscall.SIGCONT) })
	return m.Node.Signal(syscall.SIGSTOP)
}

func (i *Injector) restartNode(context.Context) error {
	m, free := i.randomVM()
	if !free {
		return nil
	}
	i.logf("restart node %s", m.Name)
	if err := m.Node.Stop(stopTimeout); err != nil {
		return err
	}
	return i.fleet.StartNode(m)
}

func (i *Injector) injectStoreFault(ctx context.Context) error {
	faults := []fleet.StoreFault{
		{Mode: "Down"},
		{Mode: "Down"},
		{Mode: "Slow", DelayMillis: 2000},
		{Mode: "LoseAnswers", Share: 0.5},
	}
	chosen := faults[i.rng.IntN(len(faults))]
	length := i.randomDuration(time.Second, 20*time.Second)
	if _, isFaulted := i.active["store"]; isFaulted {
		return nil
	}
	i.logf("store %s for %s", chosen.Mode, length)
	i.activate("store", length, func(ctx context.Context) error {
		return i.fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
	})
	return i.fleet.SetStoreFault(ctx, chosen)
}

func (i *Injector) makeTargetCold(ctx context.Context) error {
	target := i.randomTarget()
	i.logf("target %s turns cold", target.Name)
	i.logFailure(target.SetFault(ctx, "cold", fleet.Fault{Seconds: time.Duration(target.ColdStart).Seconds()}))
	return nil
}

func (i *Injector) slowTarget(ctx context.Context) error {
	target := i.randomTarget()
	length := i.randomDuration(time.Second, 6*time.Second)
	if _, isFaulted := i.active[target.Name]; isFaulted {
		return nil
	}
	i.logf("target %s is slow for %s", target.Name, length)
	i.activate(target.Name, length, func(ctx context.Context) error {
		i.logFailure(target.SetFault(ctx, "slow", fleet.Fault{Factor: 1}))
		return nil
	})
	i.logFailure(target.SetFault(ctx, "slow", fleet.Fault{Factor: 10}))
	return nil
}

func (i *Injector) restartTarget(context.Context) error {
	target := i.randomTarget()
	if _, isFaulted := i.active[target.Name]; isFaulted {
		return nil
	}
	i.logf("restart target %s", target.Name)
	if err := target.Process.Stop(stopTimeout); err != nil {
		return err
	}
	return i.fleet.StartTarget(target)
}

// logFailure logs that a target did not accept a fault, for example because it
// was restarted just before. Such a failure does not end the run.
func (i *Injector) logFailure(err error) {
	if err != nil {
		i.logf("change of target failed: %s", err)
	}
}

// randomVM returns a random VM and whether it has no active fault.
func (i *Injector) randomVM() (m *fleet.RunningVM, free bool) {
	m = i.fleet.VMs[i.rng.IntN(len(i.fleet.VMs))]
	_, isFaulted := i.active[m.Name]
	return m, !isFaulted
}

func (i *Injector) randomTarget() *fleet.RunningTarget {
	m := i.fleet.VMs[i.rng.IntN(len(i.fleet.VMs))]
	return m.Targets[i.rng.IntN(len(m.Targets))]
}

func (i *Injector) activate(name string, length time.Duration, undo func(context.Context) error) {
	i.active[name] = fault{until: time.Now().Add(length), undo: undo}
}

func (i *Injector) undoExpired(ctx context.Context, now time.Time) error {
	for name, fault := range i.active {
		if fault.until.After(now) {
			continue
		}
		delete(i.active, name)
		i.logf("%s is restored", name)
		if err := fault.undo(ctx); err != nil {
			return fmt.Errorf("restore %s: %w", name, err)
		}
	}
	return nil
}

func (i *Injector) nextWake(nextFault time.Time) time.Time {
	for _, fault := range i.active {
		if fault.until.Before(nextFault) {
			nextFault = fault.until
		}
	}
	return nextFault
}

func (i *Injector) randomDuration(low, high time.Duration) time.Duration {
	return (low + time.Duration(i.rng.Int64N(int64(high-low)))).Round(time.Millisecond)
}

func (i *Injector) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(i.log, "%8.3f s  %s\n", time.Since(i.start).Seconds(), fmt.Sprintf(format, args...))
}

func wait(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
