package grind

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
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
	// reuseDelay is the time after which the address of a target may go to one of another
	// service.
	reuseDelay = 2 * time.Second
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
	// limited is the target that names a rate limit, or nil.
	limited         *plat.Target
	warmAt          time.Time
	lastIncarnation int
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

// sendHeartbeat sends a heartbeat of the latest incarnation to the address control, where
// it arrives after a delay. It does nothing if heartbeats are paused.
func (l *targetSet) sendHeartbeat(control string, delay time.Duration) error {
	l.mu.Lock()
	target, heartbeatsPaused, coldFor := l.latest, l.heartbeatsPaused, max(time.Until(l.warmAt), 0)
	l.mu.Unlock()
	if heartbeatsPaused {
		return nil
	}
	body, err := target.Heartbeat("ready", coldFor)
	if err != nil {
		return err
	}
	time.Sleep(delay)
	return target.Announce(http.MethodPut, control, body)
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

// setLimited records which target names a rate limit, nil for none. If one does
// already, it returns false; otherwise true.
func (l *targetSet) setLimited(target *plat.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if target != nil && l.limited != nil {
		return false
	}
	l.limited = target
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
	says := byHeartbeat
	if random.IntN(2) == 0 {
		says = byDeregistration
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		if isPlanned {
			c.drainTarget(ctx, v, says, extraServingTime)
		}
		if err := c.restartTarget(ctx, v); err != nil {
			c.logEvent(err.Error())
		}
	}()
}

// announcement is how a target announces that it leaves.
type announcement string

const (
	byHeartbeat      announcement = "Heartbeat"
	byDeregistration announcement = "Deregistration"
	byResponses      announcement = "Responses"
)

// drainTarget makes a target announce that it leaves. The target then keeps serving
// for drainBound + serveFor. Unless the announcement was its deregistration, the
// target deregisters at the end.
func (c *cluster) drainTarget(ctx context.Context, v *vm, says announcement, serveFor time.Duration) {
	target := v.targets.current()
	v.targets.setHeartbeatsPaused(true)
	var err error
	switch says {
	case byHeartbeat:
		err = target.SendHeartbeat(v.address(portReports), "draining", 0)
	case byDeregistration:
		err = target.Deregister(v.address(portReports))
	case byResponses:
		target.SetHeader(headerLeaving, "1")
	}
	if err == nil && says != byResponses {
		c.history.addChange(Change{At: time.Now(), Kind: TargetLeaves, Object: target.ID, VM: v.name})
	}
	sleep(ctx, drainBound+serveFor)
	if says != byDeregistration {
		// The target ends even when its node does not answer.
		_ = target.Deregister(v.address(portReports))
	}
}

// The headers in which targets say something of themselves.
const (
	headerLeaving   = "Server-Leaving"
	headerRateLimit = "Server-Limit"
)

// replaceQuietTarget is replaceTarget for a target that announces only in its responses
// that it leaves.
func (c *cluster) replaceQuietTarget(ctx context.Context, v *vm) {
	if !v.targets.setReplacing(true) {
		return
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		c.drainTarget(ctx, v, byResponses, extraServingTime)
		if err := c.restartTarget(ctx, v); err != nil {
			c.logEvent(err.Error())
		}
	}()
}

// killAfterLeaving makes the target of a VM announce that it leaves, and kills the node
// right after its acknowledgement. The target serves long enough for the next process of
// the node to use it.
func (c *cluster) killAfterLeaving(ctx context.Context, v *vm, says announcement) {
	if !v.targets.setReplacing(true) {
		return
	}
	const killDelay, longServingTime = 200 * time.Millisecond, 7 * time.Second
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		sleep(ctx, killDelay)
		c.killProcess(v)
	}()
	c.drainTarget(ctx, v, says, longServingTime)
	if err := c.restartTarget(ctx, v); err != nil {
		c.logEvent(err.Error())
	}
}

// moveTarget ends the target of a VM without a word and gives its address to a target of
// the next service. If a target has been moved before, it goes back.
func (c *cluster) moveTarget(ctx context.Context, v *vm) {
	if !v.targets.setReplacing(true) {
		return
	}
	service := v.service
	if v.targets.current().Service == v.service {
		service = serviceNames[(indexOf(serviceNames, v.service)+1)%len(serviceNames)]
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		defer v.targets.setReplacing(false)
		v.targets.setHeartbeatsPaused(true)
		v.targets.current().Stop()
		c.history.addDisturbance(targetsName, time.Now(), reuseDelay+coldDuration)
		if err := os.WriteFile(v.settings, settings(v, service, c.storeLink.Address()), 0o600); err != nil {
			c.logEvent(err.Error())
		}
		sleep(ctx, reuseDelay)
		if err := c.startTarget(v, service, coldDuration); err != nil {
			c.logEvent(err.Error())
		}
	}()
}

func indexOf(list []string, s string) int {
	for i, other := range list {
		if other == s {
			return i
		}
	}
	return -1
}

// limitRate makes the target of a VM name a rate limit, in requests per second, in its
// responses for the given duration. If it names one already, limitRate does nothing.
func (c *cluster) limitRate(ctx context.Context, v *vm, rate int, duration time.Duration) {
	target := v.targets.current()
	if !v.targets.setLimited(target) {
		return
	}
	c.history.addChange(Change{At: time.Now(), Kind: RateLimitNamed, Object: target.ID, VM: v.name, Rate: float64(rate)})
	target.SetHeader(headerRateLimit, strconv.Itoa(rate))
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		sleep(ctx, duration)
		target.SetHeader(headerRateLimit)
		c.history.addChange(Change{At: time.Now(), Kind: RateLimitEnded, Object: target.ID, VM: v.name})
		v.targets.setLimited(nil)
	}()
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
