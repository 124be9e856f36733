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
	minGap = 500 * time.Millisecond
	maxGap = 4 * time.Second
	// maxAtOnce bounds the faults in force at one time.
	maxAtOnce   = 3
	stopTimeout = 25 * time.Second
)

// Faults makes faults in a fleet, in an order that follows from a seed. One
// goroutine runs it.
type Faults struct {
	fleet *fleet.Fleet
	rng   *rand.Rand
	log   io.Writer
	start time.Time
	// inForce holds the faults to undo, by what they befell.
	inForce map[string]fault
}

// fault is one fault in force.
type fault struct {
	until time.Time
	undo  func(ctx context.Context) error
}

// NewFaults returns faults for a running fleet; each is logged as it comes.
func NewFaults(f *fleet.Fleet, seed uint64, log io.Writer) *Faults {
	return &Faults{
		fleet:   f,
		rng:     rand.New(rand.NewPCG(seed, 2)),
		log:     log,
		inForce: make(map[string]fault),
	}
}

// Run waits for settle, makes faults for a length of time and undoes them all.
func (f *Faults) Run(ctx context.Context, settle, length time.Duration) error {
	f.start = time.Now().Add(settle)
	if !wait(ctx, f.start) {
		return nil
	}
	end := f.start.Add(length)
	next := f.start.Add(f.between(minGap, maxGap))
	for {
		wake := f.earliest(next)
		if wake.After(end) || !wait(ctx, wake) {
			break
		}
		if err := f.undoUntil(ctx, wake); err != nil {
			return err
		}
		if !wake.Before(next) {
			if err := f.make(ctx); err != nil {
				return err
			}
			next = time.Now().Add(f.between(minGap, maxGap))
		}
	}
	wait(ctx, end)
	// Whatever ended the run, the fleet is left whole.
	return f.undoUntil(context.WithoutCancel(ctx), end.Add(time.Hour))
}

// make draws one fault and puts it in force, unless what it would befall has
// one already.
func (f *Faults) make(ctx context.Context) error {
	kinds := []func(context.Context) error{
		f.killNode, f.killNode, f.freezeNode, f.freezeNode, f.restartNode,
		f.storeFault, f.chillTarget, f.slowTarget, f.restartTarget,
	}
	kind := kinds[f.rng.IntN(len(kinds))]
	if len(f.inForce) >= maxAtOnce {
		return nil
	}
	return kind(ctx)
}

func (f *Faults) killNode(context.Context) error {
	m, free := f.machine()
	length := f.between(100*time.Millisecond, 4*time.Second)
	if !free {
		return nil
	}
	f.note("kill node %s for %s", m.Name, length)
	m.Node.Kill()
	f.force(m.Name, length, func(context.Context) error { return f.fleet.StartNode(m) })
	return nil
}

func (f *Faults) freezeNode(context.Context) error {
	m, free := f.machine()
	length := f.between(200*time.Millisecond, 10*time.Second)
	if !free {
		return nil
	}
	f.note("freeze node %s for %s", m.Name, length)
	f.force(m.Name, length, func(context.Context) error { return m.Node.Signal(syscall.SIGCONT) })
	return m.Node.Signal(syscall.SIGSTOP)
}

func (f *Faults) restartNode(context.Context) error {
	m, free := f.machine()
	if !free {
		return nil
	}
	f.note("restart node %s", m.Name)
	if err := m.Node.Stop(stopTimeout); err != nil {
		return err
	}
	return f.fleet.StartNode(m)
}

func (f *Faults) storeFault(ctx context.Context) error {
	faults := []fleet.StoreFault{
		{Mode: "Down"},
		{Mode: "Down"},
		{Mode: "Slow", DelayMillis: 2000},
		{Mode: "LoseAnswers", Share: 0.5},
	}
	chosen := faults[f.rng.IntN(len(faults))]
	length := f.between(time.Second, 20*time.Second)
	if _, taken := f.inForce["store"]; taken {
		return nil
	}
	f.note("store %s for %s", chosen.Mode, length)
	f.force("store", length, func(ctx context.Context) error {
		return f.fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
	})
	return f.fleet.SetStoreFault(ctx, chosen)
}

func (f *Faults) chillTarget(ctx context.Context) error {
	b := f.back()
	f.note("target %s turns cold", b.Name)
	f.try(b.SetFault(ctx, "cold", fleet.Fault{Seconds: time.Duration(b.ColdStart).Seconds()}))
	return nil
}

func (f *Faults) slowTarget(ctx context.Context) error {
	b := f.back()
	length := f.between(time.Second, 6*time.Second)
	if _, taken := f.inForce[b.Name]; taken {
		return nil
	}
	f.note("target %s is slow for %s", b.Name, length)
	f.force(b.Name, length, func(ctx context.Context) error {
		f.try(b.SetFault(ctx, "slow", fleet.Fault{Factor: 1}))
		return nil
	})
	f.try(b.SetFault(ctx, "slow", fleet.Fault{Factor: 10}))
	return nil
}

func (f *Faults) restartTarget(context.Context) error {
	b := f.back()
	if _, taken := f.inForce[b.Name]; taken {
		return nil
	}
	f.note("restart target %s", b.Name)
	if err := b.Process.Stop(stopTimeout); err != nil {
		return err
	}
	return f.fleet.StartTarget(b)
}

// try notes a fault that could not be made, as at a target that has only just
// been started again.
func (f *Faults) try(err error) {
	if err != nil {
		f.note("not made: %s", err)
	}
}

// machine draws a machine and tells whether it has no fault in force.
func (f *Faults) machine() (m *fleet.RunningVM, free bool) {
	m = f.fleet.VMs[f.rng.IntN(len(f.fleet.VMs))]
	_, taken := f.inForce[m.Name]
	return m, !taken
}

func (f *Faults) back() *fleet.RunningTarget {
	m := f.fleet.VMs[f.rng.IntN(len(f.fleet.VMs))]
	return m.Targets[f.rng.IntN(len(m.Targets))]
}

func (f *Faults) force(name string, length time.Duration, undo func(context.Context) error) {
	f.inForce[name] = fault{until: time.Now().Add(length), undo: undo}
}

func (f *Faults) undoUntil(ctx context.Context, now time.Time) error {
	for name, inForce := range f.inForce {
		if inForce.until.After(now) {
			continue
		}
		delete(f.inForce, name)
		f.note("%s is restored", name)
		if err := inForce.undo(ctx); err != nil {
			return fmt.Errorf("restore %s: %w", name, err)
		}
	}
	return nil
}

func (f *Faults) earliest(next time.Time) time.Time {
	for _, inForce := range f.inForce {
		if inForce.until.Before(next) {
			next = inForce.until
		}
	}
	return next
}

func (f *Faults) between(low, high time.Duration) time.Duration {
	return (low + time.Duration(f.rng.Int64N(int64(high-low)))).Round(time.Millisecond)
}

func (f *Faults) note(format string, args ...any) {
	_, _ = fmt.Fprintf(f.log, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
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
