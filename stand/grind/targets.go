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
	// extraServingTime is how long a leaving target keeps serving after drainBound
	// has passed.
	extraServingTime = time.Second
	// downTime is the time between the stop of one incarnation and the start of
	// the next at the same address.
	downTime = 500 * time.Millisecond
)

// targetSet holds the incarnations of the target of one VM.
type targetSet struct {
	mu     sync.Mutex
	latest *plat.Target
	// incarnations holds every target that was started, including latest.
	incarnations []*plat.Target
	// heartbeatsPaused reports that no heartbeats are sent, because the target
	// leaves or is stopped.
	heartbeatsPaused bool
	isReplacing      bool
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
	return append([]*plat.Target{}, l.incarnations...)
}

// sendHeartbeat sends a heartbeat of the latest incarnation to the address control.
// It does nothing if heartbeats are paused.
func (l *targetSet) sendHeartbeat(control string) error {
	l.mu.Lock()
	target, heartbeatsPaused, coldFor := l.latest, l.heartbeatsPaused, max(time.Until(l.warmAt), 0)
	l.mu.Unlock()
	if heartbeatsPaused {
		return nil
	}
	return target.SendHeartbeat(control, "ready", coldFor)
}

// setReplacing records whether a replacement is in progress. If replacing is true
// and a replacement is already in progress, it returns false; otherwise true.
func (l *targetSet) setReplacing(replacing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isReplacing && replacing {
		return false
	}
	l.isReplacing = replacing
	return true
}

func (l *targetSet) setHeartbeatsPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatsPaused = paused
}

// replaceTarget stops the target of a VM and starts the next incarnation at its
// address, in the background. At random, the stop is graceful or like a crash. If a
// replacement is already in progress, replaceTarget does nothing.
func (c *cluster) replaceTarget(ctx context.Context, v *vm, random *rand.Rand) {
	if !v.targets.setReplacing(true) {
		return
	}
	isPlanned := random.IntN(3) > 0
	deregisterFirst := random.IntN(2) == 0
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		if isPlanned {
			c.drainTarget(ctx, v, deregisterFirst)
		}
		if err := c.restartTarget(ctx, v); err != nil {
			c.logEvent(err.Error())
		}
	}()
}

// drainTarget makes a target announce that it leaves. The target then keeps serving
// for drainBound + extraServingTime. If deregisterFirst is set, the announcement is
// the deregistration. Otherwise, it is a heartbeat with the state "draining", and
// the target deregisters at the end.
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
	sleep(ctx, drainBound+extraServingTime)
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

// startTarget starts an incarnation of the target of a VM, which stays cold for
// coldFor.
func (c *cluster) startTarget(v *vm, service string, coldFor time.Duration) error {
	l := &v.targets
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIncarnation++
	t := newTarget(v, service, l.lastIncarnation)
	startedAt := time.Now()
	t.WarmAt = startedAt.Add(coldFor)
	if err := startWithRetries(t, v.address(portTarget)); err != nil {
		return fmt.Errorf("start the target of %s: %w", v.name, err)
	}
	l.latest, l.heartbeatsPaused, l.warmAt = t, false, startedAt.Add(coldFor)
	l.incarnations = append(l.incarnations, t)
	c.history.addChange(Change{At: startedAt, Kind: TargetBegins, Object: t.ID, VM: v.name, ColdFor: coldFor})
	return nil
}

// startWithRetries starts a target at an address. After an error it retries, for at
// most downTime in all, since the previous incarnation may still hold the address.
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
