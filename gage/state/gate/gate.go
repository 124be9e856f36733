// Package gate decides which calls may run at one target. It joins the
// concurrency limit, the ramp of a cold target and the queue; it holds no
// clock and starts no goroutine.
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

// Decision settles one call.
type Decision struct {
	ID uint64
	// Admitted tells that the call holds a slot until Release or Return.
	Admitted bool
	// Reason is ReasonNone exactly when the call is admitted.
	Reason gage.Reason
	// RetryAfter is above 0 exactly when the call is refused.
	RetryAfter time.Duration
}

// End is the end of a call that ran.
type End struct {
	// Entry is that of the call, as it was told to Arrive.
	Entry shed.Entry
	// Latency is what the target took, best without the time of nested calls.
	Latency time.Duration
	// Failed tells that the target itself failed or shed the call.
	Failed bool
	// NestedShed tells that the call failed because a nested one was refused.
	NestedShed bool
}

// Gate owns the admission to one target. Its methods take times that never go
// back; the decisions they return are valid until the next call.
type Gate struct {
	options  Options
	draining bool
	// inFlight is at most MaxInFlight.
	inFlight int
	limit    *limit.Limit
	ramp     *ramp.Ramp
	queue    *shed.Queue
	meter    meter
	ranks    *ranks
	press    *press.Press
	// expiredAt is when the queue was last searched for lapsed calls.
	expiredAt time.Time
	// decisions is reused by each call.
	decisions []Decision
}

// New returns the gate of a target that has just announced itself.
func New(now time.Time, options Options) *Gate {
	g := &Gate{
		options: options,
		queue:   shed.New(shed.Options{Capacity: queueCapacity, Discipline: options.discipline()}),
		ranks:   newRanks(now),
		press:   press.New(),
	}
	g.Restart(now, options)
	return g
}

// Restart takes in a new incarnation of the target, which starts cold. Calls
// in flight still hold their slots.
func (g *Gate) Restart(now time.Time, options Options) {
	g.options = options
	g.draining = false
	g.limit = limit.New(now, options.limit())
	g.ramp = ramp.New(now, options.ramp())
	g.meter = meter{}
}

// Configure takes in a changed configuration of the same incarnation.
func (g *Gate) Configure(now time.Time, options Options) {
	g.options = options
	g.limit.SetCeiling(options.limit().Ceiling)
	g.ramp.Configure(now, options.ramp())
}

// Arrive asks for a slot. The decisions settle this call or others; a call
// that none of them names waits.
func (g *Gate) Arrive(now time.Time, e shed.Entry) []Decision {
	g.begin(now)
	e = g.options.flatten(e)
	e.ArrivedAt = now
	if g.draining {
		g.refuse(e, gage.ReasonDraining)
		return g.decisions
	}
	if g.options.Policy == gage.PolicyAdaptive && !g.press.Admits(now, pressKey(e), e.Order) {
		g.refuse(e, gage.ReasonNestedOverload)
		return g.decisions
	}
	g.ranks.arrive(e.Rank)
	if g.queue.Full() && now.Sub(g.expiredAt) >= expireInterval {
		g.expire(now)
	}
	if dropped, ok := g.queue.Push(now, e); ok {
		g.drop(dropped)
	}
	g.admit(now)
	if g.queue.Len() > 0 {
		g.ranks.wait()
		g.limit.MarkSaturated()
	}
	return g.decisions
}

// Release gives a slot back after the call ran.
func (g *Gate) Release(now time.Time, end End) []Decision {
	g.begin(now)
	g.free()
	g.press.Observe(now, pressKey(end.Entry), end.Entry.Order, end.NestedShed)
	g.meter.observe(now, end.Latency, end.Failed)
	g.adapt(now, end.Latency, end.Failed)
	g.admit(now)
	return g.decisions
}

func pressKey(e shed.Entry) press.Key {
	return press.Key{Route: e.Route, Workspace: e.Workspace, Rank: e.Rank}
}

// Return gives a slot back of a call that did not run.
func (g *Gate) Return(now time.Time) []Decision {
	g.begin(now)
	g.free()
	g.admit(now)
	return g.decisions
}

// Cancel takes out a waiting call whose caller has gone.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	return g.queue.Remove(now, id)
}

// Tick drops what may no longer be admitted and moves the ramp on.
func (g *Gate) Tick(now time.Time) []Decision {
	g.begin(now)
	g.expire(now)
	g.admit(now)
	return g.decisions
}

// Drain refuses all waiting and coming calls; calls in flight go on.
func (g *Gate) Drain(now time.Time) []Decision {
	g.begin(now)
	g.draining = true
	g.queue.Clear(now, func(e shed.Entry) { g.refuse(e, gage.ReasonDraining) })
	return g.decisions
}

// Load returns the present load.
func (g *Gate) Load() gage.Load {
	return gage.Load{
		Limit:    max(g.allowed(), g.inFlight),
		InFlight: g.inFlight,
		Queued:   g.queue.Len(),
		ShedRank: g.ranks.shed,
		Latency:  g.meter.latency,
	}
}

// Cold reports whether the target is in a cold start.
func (g *Gate) Cold() bool {
	return g.options.Policy == gage.PolicyAdaptive && g.ramp.Cold()
}

func (g *Gate) begin(now time.Time) {
	g.decisions = g.decisions[:0]
	g.ramp.Advance(now)
	g.ranks.roll(now)
}

// allowed returns the concurrency allowed at present, at least 1.
func (g *Gate) allowed() int {
	switch g.options.Policy {
	case gage.PolicyNone:
		return MaxInFlight
	case gage.PolicyFixed, gage.PolicyQueueDelay:
		return g.options.fixed()
	default:
		return g.ramp.Cap(g.limit.Current())
	}
}

func (g *Gate) free() {
	invar.Check(g.inFlight > 0, "ReleaseOfAdmitted", "InFlight", g.inFlight)
	g.inFlight--
}

// adapt learns from a call that has ended.
func (g *Gate) adapt(now time.Time, latency time.Duration, failed bool) {
	if g.ramp.Cold() {
		reached := g.allowed()
		g.limit.ObserveBaseline(now, latency, failed)
		if g.ramp.Observe(now, latency, failed) {
			g.limit.Reset(now, between(reached, g.limit.Current()))
		}
		return
	}
	verdict := g.limit.Observe(now, latency, failed, g.inFlight)
	if verdict == limit.VerdictCapacityLost && g.options.ColdStart > 0 {
		g.limit.Reset(now, 0)
		g.ramp.RestartSuspected(now)
	}
}

// between returns the geometric mean of two limits.
func between(a, b int) int {
	return int(math.Sqrt(float64(a) * float64(b)))
}

// admit gives free slots to the calls that go next.
func (g *Gate) admit(now time.Time) {
	allowed := g.allowed()
	invar.Check(allowed >= 1 && allowed <= MaxInFlight, "LimitInBounds", "Limit", allowed)
	for g.inFlight < allowed {
		e, ok := g.queue.Pop(now, g.patience(), g.drop)
		if !ok {
			return
		}
		g.inFlight++
		g.decisions = append(g.decisions, Decision{ID: e.ID, Admitted: true})
	}
}

func (g *Gate) expire(now time.Time) {
	g.expiredAt = now
	g.queue.Expire(now, g.patience(), g.drop)
}

func (g *Gate) patience() shed.Patience {
	if g.options.Policy == gage.PolicyFixed || g.options.Policy == gage.PolicyNone {
		return shed.Patience{}
	}
	long := max(longWait, min(g.meter.timeFor(longCalls), maxWait))
	return shed.Patience{
		Long:       long,
		Short:      max(shortWait, min(g.meter.timeFor(shortCalls), maxWait)),
		Outranking: outrankingWaits * long,
		Fastest:    g.meter.least(),
	}
}

// drop refuses a call that had waited or found the queue full. One whose
// decisions lapsed while it waited fell to the overload, but for the highest
// rank, which asks again with new ones.
func (g *Gate) drop(r shed.Refusal) {
	if r.Reason == gage.ReasonStaleDecision && r.Entry.Rank > 0 && !r.Entry.ArrivedAt.After(r.Entry.AdmitBy) {
		r.Reason = gage.ReasonOverload
	}
	if r.Reason == gage.ReasonOverload || r.Reason == gage.ReasonQueueFull {
		g.ranks.refuse(r.Entry.Rank)
		if g.Cold() {
			r.Reason = gage.ReasonColdStart
		}
	}
	g.refuse(r.Entry, r.Reason)
}

func (g *Gate) refuse(e shed.Entry, reason gage.Reason) {
	g.decisions = append(g.decisions, Decision{ID: e.ID, Reason: reason, RetryAfter: g.retryAfter(e)})
}
