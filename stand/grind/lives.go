package grind

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

const (
	// coldTime is how long a new lifetime of a target stays cold.
	coldTime = 2 * time.Second
	// afterDrain is how long a leaving target serves on, beyond drainBound.
	afterDrain = time.Second
	// deadTime is how long the address of a target that ended stays empty.
	deadTime = 500 * time.Millisecond
)

// lives are the lifetimes of the target of one VM.
type lives struct {
	mu      sync.Mutex
	present *plat.Target
	all     []*plat.Target
	// silent tells that no heartbeat is sent: the target leaves or is gone.
	silent   bool
	turning  bool
	warmAt   time.Time
	sequence int
}

func (l *lives) target() *plat.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.present
}

// every returns the targets of all lifetimes.
func (l *lives) every() []*plat.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*plat.Target{}, l.all...)
}

// beat sends a heartbeat unless the target is silent.
func (l *lives) beat(control string) error {
	l.mu.Lock()
	target, silent, cold := l.present, l.silent, max(time.Until(l.warmAt), 0)
	l.mu.Unlock()
	if silent {
		return nil
	}
	return target.Beat(control, "ready", cold)
}

func (l *lives) begin(turning bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.turning && turning {
		return false
	}
	l.turning = turning
	return true
}

func (l *lives) quiet(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// replace ends the target of a VM, as planned or as a crash does, and starts
// the next lifetime at its address.
func (p *place) replace(ctx context.Context, m *machine, random *rand.Rand) {
	if !m.lives.begin(true) {
		return
	}
	planned := random.IntN(3) > 0
	goesFirst := random.IntN(2) == 0
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		defer m.lives.begin(false)
		if planned {
			p.takeLeave(ctx, m, goesFirst)
		}
		if err := p.nextLife(ctx, m); err != nil {
			p.note(err.Error())
		}
	}()
}

// takeLeave has a target say that it leaves and serve on for a while. One that
// goes first says so by ending its entry.
func (p *place) takeLeave(ctx context.Context, m *machine, goesFirst bool) {
	target := m.lives.target()
	m.lives.quiet(true)
	say := func() error { return target.Beat(m.at(portReports), "draining", 0) }
	if goesFirst {
		say = func() error { return target.Leave(m.at(portReports)) }
	}
	if err := say(); err == nil {
		p.history.change(Change{At: time.Now(), Kind: TargetLeaves, What: target.ID, VM: m.name})
	}
	pause(ctx, drainBound+afterDrain)
	if !goesFirst {
		// Without an answer it ends all the same.
		_ = target.Leave(m.at(portReports))
	}
}

// nextLife ends the present target and starts the next.
func (p *place) nextLife(ctx context.Context, m *machine) error {
	m.lives.quiet(true)
	old := m.lives.target()
	old.Stop()
	p.history.disturb(targetsName, time.Now(), deadTime+coldTime)
	pause(ctx, deadTime)
	return p.startLife(m, old.Service, coldTime)
}

// targetsName names the targets where VMs and the store are named.
const targetsName = "targets"

var errAddressTaken = errors.New("the address of a target was not free")

// startLife starts a lifetime of the target of a VM.
func (p *place) startLife(m *machine, service string, cold time.Duration) error {
	l := &m.lives
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	t := target(m, service, l.sequence)
	begins := time.Now()
	t.Warm = begins.Add(cold)
	if err := startAt(t, m.at(portTarget)); err != nil {
		return fmt.Errorf("start the target of %s: %w", m.name, err)
	}
	l.present, l.silent, l.warmAt = t, false, begins.Add(cold)
	l.all = append(l.all, t)
	p.history.change(Change{At: begins, Kind: TargetBegins, What: t.ID, VM: m.name, Cold: cold})
	return nil
}

// startAt opens a target, also while its address is being given up.
func startAt(t *plat.Target, address string) error {
	const tries = 20
	for range tries {
		err := t.StartAt(address)
		if err == nil {
			return nil
		}
		time.Sleep(deadTime / tries)
	}
	return errAddressTaken
}
