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
	// coldDuration is how long a new incarnation of a target stays cold.
	coldDuration = 2 * time.Second
	// serveAfterDrain is how long a leaving target keeps serving beyond
	// drainBound.
	serveAfterDrain = time.Second
	// downTime is the time between the stop of one incarnation and the start of
	// the next at the same address.
	downTime = 500 * time.Millisecond
)

// targetSet holds the incarnations of the target of one VM.
type targetSet struct {
	mu      sync.Mutex
	latest  *plat.Target
	started []*plat.Target
	// heartbeatsPaused reports that no heartbeats are sent, because the target
	// leaves or is stopped.
	heartbeatsPaused bool
	replacing        bool
	warmAt           time.Time
	lastIncarnation  int
}

func (l *targetSet) current() *plat.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// all returns the targets of all incarnations.
func (l *targetSet) all() []*plat.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*plat.Target{}, l.started...)
}

// sendHeartbeat sends a heartbeat unless heartbeats are paused.
func (l *targetSet) sendHeartbeat(control string) error {
	l.mu.Lock()
	target, heartbeatsPaused, cold := l.latest, l.heartbeatsPaused, max(time.Until(l.warmAt), 0)
	l.mu.Unlock()
	if heartbeatsPaused {
		return nil
	}
	return target.SendHeartbeat(control, "ready", cold)
}

// setReplacing records whether a replacement is in progress. It returns false
// when one is to begin while another is in progress.
func (l *targetSet) setReplacing(replacing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replacing && replacing {
		return false
	}
	l.replacing = replacing
	return true
}

func (l *targetSet) setHeartbeatsPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatsPaused = paused
}

// replaceTarget ends the target of a VM, gracefully or like a crash, and starts
// the next incarnation at its address.
func (c *cluster) replaceTarget(ctx context.Context, v *vm, random *rand.Rand) {
	if !v.targets.setReplacing(true) {
		return
	}
	planned := random.IntN(3) > 0
	deregisterFirst := random.IntN(2) == 0
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		if planned {
			c.drainTarget(ctx, v, deregisterFirst)
		}
		if err := c.restartTarget(ctx, v); err != nil {
			c.logEvent(err.Error())
		}
	}()
}

// drainTarget has a target announce that it leaves and keep serving for drainBound
// and serveAfterDrain. The target announces that it leaves with a heartbeat in the
// state "draining" and deregisters at the end; if deregisterFirst is set, it
// deregisters at once and sends no such heartbeat.
func (c *cluster) drainTarget(ctx context.Context, v *vm, deregisterFirst bool) {
	target := v.targets.current()
	v.targets.setHeartbeatsPaused(true)
	announce := func() error { return target.SendHeartbeat(v.address(portReports), "draining", 0) }
	if deregisterFirst {
		announce = func() error { return target.Deregister(v.address(portReports)) }
	}
	if err := announce(); err == nil {
		c.history.addChange(Change{At: time.Now(), Kind: TargetLeaves, Object: target.ID, VM: v.name})
	}
	sleep(ctx, drainBound+serveAfterDrain)
	if !deregisterFirst {
		// The target ends even when its node does not answer.
		_ = target.Deregister(v.address(portReports))
	}
}

// restartTarget stops the current incarnation and starts the next.
func (c *cluster) restartTarget(ctx context.Context, v *vm) error {
	v.targets.setHeartbeatsPaused(true)
	old := v.targets.current()
	old.Stop()
	c.history.addDisturbance(targetsName, time.Now(), downTime+coldDuration)
	sleep(ctx, downTime)
	return c.startTarget(v, old.Service, coldDuration)
}

// targetsName is the component name of all targets together.
const targetsName = "targets"

var errAddressTaken = errors.New("the address of a target is still in use")

// startTarget starts an incarnation of the target of a VM.
func (c *cluster) startTarget(v *vm, service string, cold time.Duration) error {
	l := &v.targets
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIncarnation++
	t := newTarget(v, service, l.lastIncarnation)
	begins := time.Now()
	t.WarmAt = begins.Add(cold)
	if err := startWithRetries(t, v.address(portTarget)); err != nil {
		return fmt.Errorf("start the target of %s: %w", v.name, err)
	}
	l.latest, l.heartbeatsPaused, l.warmAt = t, false, begins.Add(cold)
	l.started = append(l.started, t)
	c.history.addChange(Change{At: begins, Kind: TargetBegins, Object: t.ID, VM: v.name, ColdFor: cold})
	return nil
}

// startWithRetries starts a target at an address. It retries after an error
// for downTime at most, since the previous incarnation may still hold the address.
func startWithRetries(t *plat.Target, address string) error {
	const maxAttempts = 20
	for range maxAttempts {
		err := t.StartAt(address)
		if err == nil {
			return nil
		}
		time.Sleep(downTime / maxAttempts)
	}
	return errAddressTaken
}
