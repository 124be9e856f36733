// Package gate is the admission control of one target. It combines the adaptive
// concurrency limit, the ramp of a cold target, the queue of waiting calls and
// the throttle for nested overload. It reads no clock and starts no goroutine.
package gate

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/limit"
	"github.com/greengagewind/greengagewind/gage/state/press"
	"github.com/greengagewind/greengagewind/gage/state/ramp"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// Decision is the final answer to one call that asked for a slot.
type Decision struct {
	// ID is the ID of the call's shed.Entry.
	ID uint64
	// Admitted is true if the call holds a slot. It holds the slot until Release
	// or ReleaseUnused.
	Admitted bool
	// Reason is ReasonNone exactly when the call is admitted.
	Reason gage.Reason
	// RetryAfter is the delay after which a refused call may be retried. It is
	// above 0 exactly when the call is refused.
	RetryAfter time.Duration
}

// Completion is the result of a call that ran.
type Completion struct {
	// Entry is the entry that was passed to Arrive.
	Entry shed.Entry
	// Latency is the time from the start of the call at the target to its end. It
	// should not include the time of nested calls. Otherwise an overload of the
	// services downstream would count as an overload of this target.
	Latency time.Duration
	// Failed is true if the call failed because of the target itself or was shed by
	// it.
	Failed bool
	// NestedShed is true if the call failed because one of its nested calls was
	// refused.
	NestedShed bool
}

// Gate decides which calls may run at one target. The times passed to its
// methods must not decrease. The decisions that a method returns are valid until
// the next method call. A gate is not safe for concurrent use.
type Gate struct {
	options  Options
	draining bool
	// inFlight is at most MaxInFlight.
	inFlight       int
	limit          *limit.Limit
	ramp           *ramp.Ramp
	queue          *shed.Queue
	meter          meter
	shedRank       *shedRankTracker
	nestedThrottle *press.Throttle
	// lastExpireAt is when the queue was last searched for calls that may no
	// longer be admitted.
	lastExpireAt time.Time
	// decisions is reused by each method call to avoid allocations.
	decisions []Decision
}

// New returns the gate of a target that started at now.
func New(now time.Time, options Options) *Gate {
	g := &Gate{
		options:        options,
		queue:          shed.New(shed.Options{Capacity: queueCapacity, Discipline: options.discipline()}),
		shedRank:       newShedRankTracker(now),
		nestedThrottle: press.New(),
	}
	g.Restart(now, options)
	return g
}

// Restart resets the gate for a new incarnation of the target, which starts
// cold. Calls in flight keep their slots, and waiting calls stay in the queue.
func (g *Gate) Restart(now time.Time, options Options) {
	g.options = options
	g.draining = false
	g.limit = limit.New(now, options.limitOptions())
	g.ramp = ramp.New(now, options.rampOptions())
	g.meter = meter{}
}

// Configure applies changed options while the incarnation of the target stays the
// same.
func (g *Gate) Configure(now time.Time, options Options) {
	g.options = options
	g.limit.SetCeiling(options.limitOptions().Ceiling)
	g.ramp.Configure(now, options.rampOptions())
}

// Arrive asks for a slot for a call. The returned decisions may concern this
// call, waiting calls or both. If none concerns this call, it waits, and a later
// method call returns its decision.
func (g *Gate) Arrive(now time.Time, e shed.Entry) []Decision {
	g.begin(now)
	e = g.options.removePriority(e)
	e.ArrivedAt = now
	if g.draining {
		g.refuse(e, gage.ReasonDraining)
		return g.decisions
	}
	if g.options.Policy == gage.PolicyAdaptive && !g.nestedThrottle.Admits(now, throttleKey(e), e.ShedOrder) {
		g.refuse(e, gage.ReasonNestedOverload)
		return g.decisions
	}
	g.shedRank.countArrival(e.Rank)
	if g.queue.Full() && now.Sub(g.lastExpireAt) >= expireInterval {
		g.expire(now)
	}
	if dropped, ok := g.queue.Push(now, e); ok {
		g.refuseDropped(dropped)
	}
	g.admit(now)
	if g.queue.Len() > 0 {
		g.shedRank.countWait()
		g.limit.MarkSaturated()
	}
	return g.decisions
}

// Release frees the slot of a call that ran.
func (g *Gate) Release(now time.Time, c Completion) []Decision {
	g.begin(now)
	g.freeSlot()
	g.nestedThrottle.Observe(now, throttleKey(c.Entry), c.Entry.ShedOrder, c.NestedShed)
	g.meter.observe(now, c.Latency, c.Failed)
	g.adapt(now, c.Latency, c.Failed)
	g.admit(now)
	return g.decisions
}

func throttleKey(e shed.Entry) press.Key {
	return press.Key{Route: e.Route, Workspace: e.Workspace, Rank: e.Rank}
}

// ReleaseUnused frees the slot of a call that was admitted but did not run.
func (g *Gate) ReleaseUnused(now time.Time) []Decision {
	g.begin(now)
	g.freeSlot()
	g.admit(now)
	return g.decisions
}

// Cancel removes from the queue a call that its caller has canceled. It reports
// whether the call was waiting.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	return g.queue.Remove(now, id)
}

// Tick refuses the waiting calls that may no longer be admitted, advances the
// ramp and admits calls to free slots. Call it regularly, since calls expire and
// the ramp advances even while no calls arrive or end.
func (g *Gate) Tick(now time.Time) []Decision {
	g.begin(now)
	g.expire(now)
	g.admit(now)
	return g.decisions
}

// Drain refuses all waiting calls and, until the next Restart, all arriving
// calls. Calls in flight continue.
func (g *Gate) Drain(now time.Time) []Decision {
	g.begin(now)
	g.draining = true
	g.queue.Clear(now, func(e shed.Entry) { g.refuse(e, gage.ReasonDraining) })
	return g.decisions
}

// Load returns the load of the target at present. Limit is at least InFlight.
func (g *Gate) Load() gage.Load {
	return gage.Load{
		Limit:    max(g.currentLimit(), g.inFlight),
		InFlight: g.inFlight,
		Queued:   g.queue.Len(),
		ShedRank: g.shedRank.rank,
		Latency:  g.meter.latency,
	}
}

// Cold reports whether the target is in a cold start. It is always false under
// policies other than PolicyAdaptive.
func (g *Gate) Cold() bool {
	return g.options.Policy == gage.PolicyAdaptive && g.ramp.Cold()
}

// begin starts a method call: it clears the decisions of the previous one and
// advances the ramp and the windows of the shed rank to now.
func (g *Gate) begin(now time.Time) {
	g.decisions = g.decisions[:0]
	g.ramp.Advance(now)
	g.shedRank.advance(now)
}

// currentLimit returns the concurrency limit at present, from 1 to MaxInFlight.
func (g *Gate) currentLimit() int {
	switch g.options.Policy {
	case gage.PolicyNone:
		return MaxInFlight
	case gage.PolicyFixed, gage.PolicyQueueDelay:
		return g.options.fixedLimit()
	default:
		return g.ramp.Cap(g.limit.Current())
	}
}

func (g *Gate) freeSlot() {
	invar.Check(g.inFlight > 0, "ReleaseOfAdmitted", "InFlight", g.inFlight)
	g.inFlight--
}

// adapt adjusts the concurrency limit to the result of a call. While the target
// is cold, the ramp determines the concurrency, and the limit only updates its
// latency baseline. If the ramp restarts because the target is degraded, the limit
// is set to the geometric mean of the old limit and the concurrency that the ramp
// had reached. If the target has lost capacity, it is treated as cold again.
func (g *Gate) adapt(now time.Time, latency time.Duration, failed bool) {
	if g.ramp.Cold() {
		rampLimit := g.currentLimit()
		g.limit.ObserveBaseline(now, latency, failed)
		if g.ramp.Observe(now, latency, failed) {
			g.limit.Reset(now, geometricMean(rampLimit, g.limit.Current()))
		}
		return
	}
	verdict := g.limit.Observe(now, latency, failed, g.inFlight)
	if verdict == limit.VerdictCapacityLost && g.options.ColdStart > 0 {
		g.limit.Reset(now, 0)
		g.ramp.RestartSuspected(now)
	}
}

// geometricMean returns the geometric mean of two limits, rounded down.
func geometricMean(a, b int) int {
	return int(math.Sqrt(float64(a) * float64(b)))
}

// admit admits the calls that are next in the queue while slots are free.
func (g *Gate) admit(now time.Time) {
	current := g.currentLimit()
	invar.Check(current >= 1 && current <= MaxInFlight, "LimitInBounds", "Limit", current)
	for g.inFlight < current {
		e, ok := g.queue.Pop(now, g.waitLimits(), g.refuseDropped)
		if !ok {
			return
		}
		g.inFlight++
		g.decisions = append(g.decisions, Decision{ID: e.ID, Admitted: true})
	}
}

// expire refuses the waiting calls that may no longer be admitted.
func (g *Gate) expire(now time.Time) {
	g.lastExpireAt = now
	g.queue.Expire(now, g.waitLimits(), g.refuseDropped)
}

// waitLimits returns how long calls may wait. Under PolicyFixed and PolicyNone they
// may wait until their deadline.
func (g *Gate) waitLimits() shed.WaitLimits {
	if g.options.Policy == gage.PolicyFixed || g.options.Policy == gage.PolicyNone {
		return shed.WaitLimits{}
	}
	normal := max(normalWait, min(g.meter.timeToServe(normalWaitCalls), maxWait))
	return shed.WaitLimits{
		NormalWait:        normal,
		StandingQueueWait: max(standingWait, min(g.meter.timeToServe(standingWaitCalls), maxWait)),
		BurstWait:         burstWaitFactor * normal,
		MinLatency:        g.meter.minLatency(),
	}
}

// refuseDropped refuses a call that the queue dropped. A call whose AdmitBy
// passed while it waited is refused for overload, since the wait was too long. Calls
// of rank 0 keep ReasonStaleDecision, so that the key, quota and route checks are
// done again and the call is retried.
func (g *Gate) refuseDropped(r shed.Refusal) {
	if r.Reason == gage.ReasonStaleDecision && r.Entry.Rank > 0 && !r.Entry.ArrivedAt.After(r.Entry.AdmitBy) {
		r.Reason = gage.ReasonOverload
	}
	if r.Reason == gage.ReasonOverload || r.Reason == gage.ReasonQueueFull {
		g.shedRank.countRefusal(r.Entry.Rank)
		if g.Cold() {
			r.Reason = gage.ReasonColdStart
		}
	}
	g.refuse(r.Entry, r.Reason)
}

// refuse adds a decision that refuses the call of an entry.
func (g *Gate) refuse(e shed.Entry, reason gage.Reason) {
	g.decisions = append(g.decisions, Decision{ID: e.ID, Reason: reason, RetryAfter: g.retryAfter(e)})
}
