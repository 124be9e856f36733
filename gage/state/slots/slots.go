// Package slots decides which requests run at the target beside a node: as
// many at once as it has slots, as many a second as it bears while cold, and
// under overload those first whose refusal would waste the most.
package slots

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// coldBurst is how many requests a cold target may get at once.
	coldBurst = 3
	// staleWait is how long the oldest request of a line may have waited
	// before the newest is served first: the oldest would be late anyway.
	staleWait = 150 * time.Millisecond
	// chainRuns is how many runs at this target, one after the other, a chain
	// of calls must still have time for: it mostly has more to do than the call
	// that waits.
	chainRuns = 8
	// newTurn is how many grants there are to each one that goes to a new
	// request while nested ones wait. They go before most, since their refusal
	// wastes what was done above them, but must not starve those whose whole
	// work is here.
	newTurn = 3
	// maxWaiting bounds the requests that wait.
	maxWaiting = 1024
	// ownTimeGain weighs a new service time in the moving average.
	ownTimeGain = 0.05
	// pressedWait is the wait from which a request counts as held up.
	pressedWait = 15 * time.Millisecond
	// pressureHalfLife is how fast the pressure forgets, and pressureMass how
	// many requests it takes at least to speak of pressure.
	pressureHalfLife = 250 * time.Millisecond
	pressureMass     = 4
)

// Request is one request that wants to run.
type Request struct {
	// Nested requests are called by targets, for work already begun.
	Nested bool
	// Rank orders the others: 0 is served first.
	Rank int
	// WaitUntil is when the request is refused if it has not been granted.
	WaitUntil time.Time
	// ChainDeadline is when the time of the request at the head of the chain of calls
	// is over, zero if unknown. Only nested requests are ordered by it.
	ChainDeadline time.Time
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Request
	// Decided is closed when the request may run or is refused; Refused tells
	// which from then on.
	Decided chan struct{}
	RefusalReason gage.Reason
	asked   time.Time
	started time.Time
	settled bool
}

// Gate guards one target. The caller serialises all calls.
type Gate struct {
	// Limit is the concurrency of a warm target, at least 1.
	Limit int
	// ColdRate is how many requests a second a cold target gets, 0 for any.
	ColdRate float64
	// coldUntil is when the target is warm.
	coldUntil time.Time
	tokens    float64
	filled    time.Time
	inFlight  int
	// lines holds those that wait, nested ones first, then by rank.
	lines   [lines][]*Ticket
	waiting int
	// grants counts those given while both nested and new requests waited.
	grants int
	// ownTime is the moving average of the time in the target, 0 if unknown.
	ownTime time.Duration
	// settled and heldUp count requests, forgetting old ones, as of pressedAt.
	settled   float64
	heldUp    float64
	pressedAt time.Time
}

// lines is the number of waiting lines: one for nested requests, the others
// for ranks 0 to 3 and above.
const lines = 5

// New returns the gate of a warm target.
func New(now time.Time, limit int) *Gate {
	return &Gate{Limit: max(limit, 1), filled: now}
}

// SetCold tells until when the target is cold. A time that has passed makes
// it warm.
func (g *Gate) SetCold(now, until time.Time) {
	wasCold := g.Cold(now)
	g.coldUntil = until
	if !wasCold && g.Cold(now) {
		g.tokens, g.filled = coldBurst, now
	}
}

// Cold reports whether the target is cold.
func (g *Gate) Cold(now time.Time) bool {
	return g.ColdRate > 0 && now.Before(g.coldUntil)
}

// ColdRemaining returns how long the target stays cold.
func (g *Gate) ColdRemaining(now time.Time) time.Duration {
	if !g.Cold(now) {
		return 0
	}
	return g.coldUntil.Sub(now)
}

// InFlight returns how many requests run.
func (g *Gate) InFlight() int { return g.inFlight }

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int { return g.waiting }

// Pressure returns the moving share of requests that had to wait or were
// refused.
func (g *Gate) Pressure(now time.Time) float64 {
	g.fade(now)
	return g.heldUp / max(g.settled, pressureMass)
}

func (g *Gate) fade(now time.Time) {
	elapsed := now.Sub(g.pressedAt)
	if elapsed <= 0 {
		return
	}
	g.pressedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(pressureHalfLife))
	g.settled *= factor
	g.heldUp *= factor
}

// press counts a request that was granted or refused.
func (g *Gate) press(now time.Time, t *Ticket) {
	g.fade(now)
	g.settled++
	refused := t.RefusalReason != gage.ReasonNone && t.RefusalReason != gage.ReasonCanceled
	if refused || now.Sub(t.asked) > pressedWait || g.oldest(now) > pressedWait {
		g.heldUp++
	}
}

// oldest returns how long the request that waits longest has waited.
func (g *Gate) oldest(now time.Time) time.Duration {
	var longest time.Duration
	for i := range g.lines {
		if len(g.lines[i]) > 0 {
			longest = max(longest, now.Sub(g.lines[i][0].asked))
		}
	}
	return longest
}

// MeanRunTime returns the moving average of the time in the target.
func (g *Gate) MeanRunTime() time.Duration { return g.ownTime }

func line(a Request) int {
	if a.Nested {
		return 0
	}
	return 1 + min(max(a.Rank, 0), lines-2)
}

// Submit enters a request. It may be granted or refused at once.
func (g *Gate) Submit(now time.Time, a Request) *Ticket {
	t := &Ticket{Request: a, Decided: make(chan struct{}), asked: now}
	if g.waiting >= maxWaiting {
		g.refuse(now, t, gage.ReasonQueueFull)
		return t
	}
	at := line(a)
	g.lines[at] = append(g.lines[at], t)
	g.waiting++
	g.Advance(now)
	if g.Cold(now) && !t.settled && g.waiting > coldBurst {
		g.remove(t)
		g.refuse(now, t, gage.ReasonColdStart)
	}
	return t
}

// Withdraw takes back a request that waits, refusing it for reason. It reports
// false when the request was granted before.
func (g *Gate) Withdraw(now time.Time, t *Ticket, reason gage.Reason) bool {
	if t.settled {
		return t.RefusalReason != gage.ReasonNone
	}
	g.remove(t)
	g.refuse(now, t, reason)
	return true
}

// Done ends a granted request.
func (g *Gate) Done(now time.Time, t *Ticket) {
	g.inFlight--
	took := now.Sub(t.started)
	if g.ownTime == 0 {
		g.ownTime = took
	}
	g.ownTime += time.Duration(ownTimeGain * float64(took-g.ownTime))
	g.Advance(now)
}

// RefuseAll refuses all that wait.
func (g *Gate) RefuseAll(now time.Time, reason gage.Reason) {
	for i := range g.lines {
		for _, t := range g.lines[i] {
			g.refuse(now, t, reason)
		}
		g.lines[i] = nil
	}
	g.waiting = 0
}

// Advance grants what may run at now and refuses what has waited too long.
func (g *Gate) Advance(now time.Time) {
	for i := range g.lines {
		g.expire(now, i)
	}
	for g.waiting > 0 && g.mayRun(now) {
		t := g.next(now)
		g.inFlight++
		t.started = now
		g.settle(now, t)
	}
}

func (g *Gate) mayRun(now time.Time) bool {
	if g.inFlight >= g.Limit {
		return false
	}
	if !g.Cold(now) {
		return true
	}
	if elapsed := now.Sub(g.filled); elapsed > 0 {
		g.tokens = min(coldBurst, g.tokens+g.ColdRate*elapsed.Seconds())
		g.filled = now
	}
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// next takes the request that runs next out of its line.
func (g *Gate) next(now time.Time) *Ticket {
	first := 0
	if nested := len(g.lines[0]); nested > 0 && nested < g.waiting {
		g.grants++
		if g.grants%newTurn == 0 {
			first = 1
		}
	}
	for i := first; i < lines; i++ {
		if len(g.lines[i]) == 0 {
			continue
		}
		at := g.first(now, i)
		t := g.lines[i][at]
		g.cut(i, at)
		return t
	}
	return nil
}

// first returns which request of a line goes first: of the nested ones that
// whose chain of calls ends first, since most was done for it and every service
// prefers the same ones; of others the oldest, unless that is late anyway.
func (g *Gate) first(now time.Time, i int) int {
	if i == 0 {
		if at, found := g.nearest(now); found {
			return at
		}
	}
	if now.Sub(g.lines[i][0].asked) > staleWait {
		return len(g.lines[i]) - 1
	}
	return 0
}

// nearest returns the nested request whose chain ends first, of those that can
// still be finished.
func (g *Gate) nearest(now time.Time) (nearest int, found bool) {
	needed := chainRuns * g.ownTime
	for at, t := range g.lines[0] {
		if t.ChainDeadline.Sub(now) > needed && (!found || t.ChainDeadline.Before(g.lines[0][nearest].ChainDeadline)) {
			nearest, found = at, true
		}
	}
	return nearest, found
}

func (g *Gate) cut(i, at int) {
	g.lines[i] = append(g.lines[i][:at], g.lines[i][at+1:]...)
	g.waiting--
}

func (g *Gate) remove(t *Ticket) {
	i := line(t.Request)
	for at, other := range g.lines[i] {
		if other == t {
			g.cut(i, at)
			return
		}
	}
}

func (g *Gate) expire(now time.Time, i int) {
	kept := g.lines[i][:0]
	for _, t := range g.lines[i] {
		if now.Before(t.WaitUntil) {
			kept = append(kept, t)
			continue
		}
		g.waiting--
		g.refuse(now, t, gage.ReasonOverload)
	}
	for at := len(kept); at < len(g.lines[i]); at++ {
		g.lines[i][at] = nil
	}
	g.lines[i] = kept
}

func (g *Gate) refuse(now time.Time, t *Ticket, reason gage.Reason) {
	t.RefusalReason = reason
	g.settle(now, t)
}

func (g *Gate) settle(now time.Time, t *Ticket) {
	g.press(now, t)
	t.settled = true
	close(t.Decided)
}
