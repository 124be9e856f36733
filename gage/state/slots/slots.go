// Package slots schedules the requests at the target on the node's VM. It limits
// their concurrency to the slots of the target, and their rate while the target is cold
// or has set a limit itself. Under overload it first runs the requests whose refusal would waste
// the most work.
package slots

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// coldBurst is the burst of the rate limit of a cold target, in requests. It
	// is also the number of requests that may wait for a cold target.
	coldBurst = 3
	// If the oldest request of a queue has waited longer than newestFirstAfter, the
	// newest one is served first, because the oldest would be late anyway.
	newestFirstAfter = 150 * time.Millisecond
	// A chain deadline counts as one that can be met if more than minChainRuns times
	// the mean run time at this target remains. The factor is above 1 because other
	// calls of the chain usually follow this one.
	minChainRuns = 8
	// While nested and new requests wait, every newRequestTurn-th grant goes to
	// a new one. The other grants go to nested requests, because a refusal of these
	// wastes the work done by their callers. New requests get a turn because
	// requests that only this target serves would otherwise starve.
	newRequestTurn = 3
	// maxWaiting bounds the number of waiting requests.
	maxWaiting = 1024
	// runTimeGain is the weight of one run time in the moving average.
	runTimeGain = 0.05
	// The rate limit of a target has a burst of rateBurst requests, and of those of
	// rateBurstTime at its rate.
	rateBurst     = 3
	rateBurstTime = 100 * time.Millisecond
	// minRate is the lowest rate in requests per second. A target tells its limit in its
	// responses only, so some requests must go on.
	minRate = 0.5
	// delayedAfter is the wait above which a request counts as delayed.
	delayedAfter = 15 * time.Millisecond
	// pressureHalfLife is the half-life of the counts from which the pressure is
	// computed. The number of delayed requests is divided by at least
	// minPressureRequests, so that a few delayed requests alone do not cause a
	// high pressure.
	pressureHalfLife    = 250 * time.Millisecond
	minPressureRequests = 4
)

// Request describes a request to run at the target.
type Request struct {
	// Nested is true for a call that a target makes while it serves another
	// request.
	Nested bool
	// Rank orders requests that are not nested: 0 is served first.
	Rank int
	// WaitUntil is when the request is refused if it still waits.
	WaitUntil time.Time
	// ChainDeadline is the deadline of the request at the head of the call
	// chain, zero if unknown. Only nested requests are ordered by it.
	ChainDeadline time.Time
}

// Ticket is a request that was submitted.
type Ticket struct {
	Request
	// Decided is closed when the request may run or is refused. RefusalReason
	// is valid from then on, and is ReasonNone if the request may run.
	Decided       chan struct{}
	RefusalReason gage.Reason
	submittedAt   time.Time
	startedAt     time.Time
	hasDecision   bool
}

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	// Limit is the concurrency of the target, at least 1.
	Limit int
	// ColdRate is the rate limit of a cold target, in requests per second; 0 means
	// that the target is never cold.
	ColdRate float64
	// coldUntil is when the cold start of the target ends.
	coldUntil  time.Time
	coldTokens float64
	refilledAt time.Time
	// rate is the limit that the target has set, in requests per second; +Inf if there
	// is none.
	rate           float64
	rateTokens     float64
	rateRefilledAt time.Time
	inFlight       int
	// queues holds the waiting requests: nested ones first, then by rank.
	queues  [queueCount][]*Ticket
	waiting int
	// contendedGrants counts the grants made while both nested and new requests
	// waited.
	contendedGrants int
	// meanRunTime is the moving average of the time from grant to Done, 0 if
	// unknown.
	meanRunTime time.Duration
	// recentDecisions counts the requests that were granted or refused.
	// recentDelayed counts those of them that were delayed or refused, and those
	// that were decided on while another request was delayed. Both counts decay
	// with pressureHalfLife. They were last decayed at decayedAt.
	recentDecisions float64
	recentDelayed   float64
	decayedAt       time.Time
}

// queueCount is the number of queues: one for nested requests, the others for
// ranks 0 to 3; the last also holds higher ranks.
const queueCount = 5

// New returns the gate of a warm target. A limit below 1 counts as 1.
func New(now time.Time, limit int) *Gate {
	return &Gate{Limit: max(limit, 1), refilledAt: now, rate: math.Inf(1), rateRefilledAt: now}
}

// SetRate sets the limit that the target has set, in requests per second, 0 or more.
// +Inf removes it.
func (g *Gate) SetRate(now time.Time, rate float64) {
	g.refillRate(now)
	wasLimited := g.RateLimited()
	g.rate = max(rate, minRate)
	if g.RateLimited() && !wasLimited {
		g.rateTokens = math.Inf(1)
	}
	g.refillRate(now)
	g.Advance(now)
}

// RateLimited reports whether the target has set a limit of its rate.
func (g *Gate) RateLimited() bool { return !math.IsInf(g.rate, 1) }

// refillRate adds the tokens of the time since the last call. The time may be before that
// of the last call, since callers read it before they wait for their lock.
func (g *Gate) refillRate(now time.Time) {
	elapsed := max(now.Sub(g.rateRefilledAt), 0)
	g.rateRefilledAt = g.rateRefilledAt.Add(elapsed)
	if !g.RateLimited() {
		return
	}
	g.rateTokens = min(g.rateTokens+g.rate*elapsed.Seconds(), rateBurst+g.rate*rateBurstTime.Seconds())
}

// Concurrency returns how many requests the target is expected to run at a time when all
// its capacity is used, at least 1: its slots, or those that its rate can fill.
func (g *Gate) Concurrency() int {
	if !g.RateLimited() || g.meanRunTime == 0 {
		return g.Limit
	}
	return max(1, int(min(float64(g.Limit), math.Ceil(g.rate*g.meanRunTime.Seconds()))))
}

// NextToken returns the time until a request that waits for a token of a rate can run.
// It returns false if none waits for one.
func (g *Gate) NextToken(now time.Time) (wait time.Duration, waits bool) {
	if g.waiting == 0 || g.inFlight >= g.Limit {
		return 0, false
	}
	missing := 0.0
	if g.Cold(now) {
		missing = (1 - g.coldTokens) / g.ColdRate
	}
	if g.RateLimited() {
		missing = max(missing, (1-g.rateTokens)/g.rate)
	}
	return time.Duration(max(missing, 0) * float64(time.Second)), true
}

// SetCold sets when the cold start of the target ends. A time that has passed
// makes the target warm.
func (g *Gate) SetCold(now, until time.Time) {
	wasCold := g.Cold(now)
	g.coldUntil = until
	if !wasCold && g.Cold(now) {
		g.coldTokens, g.refilledAt = coldBurst, now
	}
}

// Cold reports whether the target is cold.
func (g *Gate) Cold(now time.Time) bool {
	return g.ColdRate > 0 && now.Before(g.coldUntil)
}

// ColdRemaining returns how long the target stays cold, 0 if it is warm.
func (g *Gate) ColdRemaining(now time.Time) time.Duration {
	if !g.Cold(now) {
		return 0
	}
	return g.coldUntil.Sub(now)
}

// InFlight returns the number of running requests.
func (g *Gate) InFlight() int { return g.inFlight }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.waiting }

// Pressure returns the moving share of requests that were delayed or refused,
// in [0, 1].
func (g *Gate) Pressure(now time.Time) float64 {
	g.decay(now)
	return g.recentDelayed / max(g.recentDecisions, minPressureRequests)
}

func (g *Gate) decay(now time.Time) {
	elapsed := now.Sub(g.decayedAt)
	if elapsed <= 0 {
		return
	}
	g.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(pressureHalfLife))
	g.recentDecisions *= factor
	g.recentDelayed *= factor
}

// recordDecision counts a request that was granted or refused.
func (g *Gate) recordDecision(now time.Time, t *Ticket) {
	g.decay(now)
	g.recentDecisions++
	refused := t.RefusalReason != gage.ReasonNone && t.RefusalReason != gage.ReasonCanceled
	if refused || now.Sub(t.submittedAt) > delayedAfter || g.longestWait(now) > delayedAfter {
		g.recentDelayed++
	}
}

// longestWait returns the longest time that a waiting request has waited.
func (g *Gate) longestWait(now time.Time) time.Duration {
	var longest time.Duration
	for i := range g.queues {
		if len(g.queues[i]) > 0 {
			longest = max(longest, now.Sub(g.queues[i][0].submittedAt))
		}
	}
	return longest
}

// MeanRunTime returns the moving average of the time from grant to Done, 0 if
// unknown.
func (g *Gate) MeanRunTime() time.Duration { return g.meanRunTime }

func queueIndex(request Request) int {
	if request.Nested {
		return 0
	}
	return 1 + min(max(request.Rank, 0), queueCount-2)
}

// waitingUpTo returns the number of requests that wait in a queue and in those that are
// served before it.
func (g *Gate) waitingUpTo(queue int) int {
	n := 0
	for _, tickets := range g.queues[:queue+1] {
		n += len(tickets)
	}
	return n
}

// Submit adds a request. It may be granted or refused at once.
func (g *Gate) Submit(now time.Time, request Request) *Ticket {
	t := &Ticket{Request: request, Decided: make(chan struct{}), submittedAt: now}
	if g.waiting >= maxWaiting {
		g.refuse(now, t, gage.ReasonQueueFull)
		return t
	}
	queue := queueIndex(request)
	if g.RateLimited() && !g.canStart(now) && float64(g.waitingUpTo(queue)) >= g.rate*request.WaitUntil.Sub(now).Seconds() {
		// The wait would be in vain.
		g.refuse(now, t, gage.ReasonOverload)
		return t
	}
	g.queues[queue] = append(g.queues[queue], t)
	g.waiting++
	g.Advance(now)
	if g.Cold(now) && !t.hasDecision && g.waiting > coldBurst {
		g.remove(t)
		g.refuse(now, t, gage.ReasonColdStart)
	}
	return t
}

// Withdraw refuses a waiting request for the given reason. It returns false if the
// request was already granted, and true if it is refused now or was before.
func (g *Gate) Withdraw(now time.Time, t *Ticket, reason gage.Reason) bool {
	if t.hasDecision {
		return t.RefusalReason != gage.ReasonNone
	}
	g.remove(t)
	g.refuse(now, t, reason)
	return true
}

// Done ends a granted request.
func (g *Gate) Done(now time.Time, t *Ticket) {
	g.inFlight--
	runTime := now.Sub(t.startedAt)
	if g.meanRunTime == 0 {
		g.meanRunTime = runTime
	}
	g.meanRunTime += time.Duration(runTimeGain * float64(runTime-g.meanRunTime))
	g.Advance(now)
}

// Cancel ends a granted request that was not sent to the target.
func (g *Gate) Cancel(now time.Time) {
	g.inFlight--
	g.moveTokens(now, 1)
	g.Advance(now)
}

// RefuseAll refuses all waiting requests.
func (g *Gate) RefuseAll(now time.Time, reason gage.Reason) {
	for i := range g.queues {
		for _, t := range g.queues[i] {
			g.refuse(now, t, reason)
		}
		g.queues[i] = nil
	}
	g.waiting = 0
}

// Advance grants the requests that may run at now and refuses those that have
// waited until WaitUntil.
func (g *Gate) Advance(now time.Time) {
	for i := range g.queues {
		g.expire(now, i)
	}
	for g.waiting > 0 && g.tryStart(now) {
		t := g.popNext(now)
		g.inFlight++
		t.startedAt = now
		g.decide(now, t)
	}
}

// canStart reports whether one more request may start.
func (g *Gate) canStart(now time.Time) bool {
	if g.inFlight >= g.Limit {
		return false
	}
	g.refillRate(now)
	if g.RateLimited() && g.rateTokens < 1 {
		return false
	}
	if !g.Cold(now) {
		return true
	}
	if elapsed := now.Sub(g.refilledAt); elapsed > 0 {
		g.coldTokens = min(coldBurst, g.coldTokens+g.ColdRate*elapsed.Seconds())
		g.refilledAt = now
	}
	return g.coldTokens >= 1
}

// tryStart reports whether one more request may start, and takes the tokens that it
// needs.
func (g *Gate) tryStart(now time.Time) bool {
	if !g.canStart(now) {
		return false
	}
	g.moveTokens(now, -1)
	return true
}

// moveTokens adds tokens to the rates that apply.
func (g *Gate) moveTokens(now time.Time, tokens float64) {
	if g.RateLimited() {
		g.rateTokens += tokens
	}
	if g.Cold(now) {
		g.coldTokens = min(coldBurst, g.coldTokens+tokens)
	}
}

// popNext removes and returns the request that runs next.
func (g *Gate) popNext(now time.Time) *Ticket {
	firstQueue := 0
	if nested := len(g.queues[0]); nested > 0 && nested < g.waiting {
		g.contendedGrants++
		if g.contendedGrants%newRequestTurn == 0 {
			firstQueue = 1
		}
	}
	for i := firstQueue; i < queueCount; i++ {
		if len(g.queues[i]) == 0 {
			continue
		}
		index := g.selectIndex(now, i)
		t := g.queues[i][index]
		g.removeAt(i, index)
		return t
	}
	return nil
}

// selectIndex returns the index of the request that runs next from a queue. Of
// nested requests it is the one with the earliest chain deadline that can still be
// met. Most work has usually been done for this one, and all services prefer
// requests of the same chains. If there is none, and in other queues, it is the
// oldest request, or the newest one if the oldest has waited longer than
// newestFirstAfter.
func (g *Gate) selectIndex(now time.Time, queue int) int {
	if queue == 0 {
		if index, found := g.earliestChain(now); found {
			return index
		}
	}
	if now.Sub(g.queues[queue][0].submittedAt) > newestFirstAfter {
		return len(g.queues[queue]) - 1
	}
	return 0
}

// earliestChain returns the index of the nested request with the earliest chain
// deadline that can still be met. found is false if there is none.
func (g *Gate) earliestChain(now time.Time) (earliest int, found bool) {
	needed := minChainRuns * g.meanRunTime
	for index, t := range g.queues[0] {
		if t.ChainDeadline.Sub(now) > needed && (!found || t.ChainDeadline.Before(g.queues[0][earliest].ChainDeadline)) {
			earliest, found = index, true
		}
	}
	return earliest, found
}

func (g *Gate) removeAt(queue, index int) {
	g.queues[queue] = append(g.queues[queue][:index], g.queues[queue][index+1:]...)
	g.waiting--
}

func (g *Gate) remove(t *Ticket) {
	queue := queueIndex(t.Request)
	for index, other := range g.queues[queue] {
		if other == t {
			g.removeAt(queue, index)
			return
		}
	}
}

func (g *Gate) expire(now time.Time, queue int) {
	kept := g.queues[queue][:0]
	for _, t := range g.queues[queue] {
		if now.Before(t.WaitUntil) {
			kept = append(kept, t)
			continue
		}
		g.waiting--
		g.refuse(now, t, gage.ReasonOverload)
	}
	for index := len(kept); index < len(g.queues[queue]); index++ {
		g.queues[queue][index] = nil
	}
	g.queues[queue] = kept
}

func (g *Gate) refuse(now time.Time, t *Ticket, reason gage.Reason) {
	t.RefusalReason = reason
	g.decide(now, t)
}

func (g *Gate) decide(now time.Time, t *Ticket) {
	g.recordDecision(now, t)
	t.hasDecision = true
	close(t.Decided)
}
