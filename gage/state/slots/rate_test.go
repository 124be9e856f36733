package slots_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/slots"
)

// A target got far more requests than the limit that it had set. In no interval does it
// get more than the limit and a burst, however requests arrive and the limit changes.
func TestRateLimitHoldsInEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lowest, highest, interval = 5, 60, 4000
		g := slots.New(start, 100)
		g.SetRate(start, highest)
		var grantTimes []int
		for now := 0; now < 9000; now += rapid.IntRange(0, 60).Draw(t, "gap") {
			if rapid.IntRange(0, 20).Draw(t, "changes") == 0 {
				g.SetRate(at(now), float64(rapid.IntRange(lowest, highest).Draw(t, "rate")))
			}
			for range rapid.IntRange(1, 10).Draw(t, "requests") {
				ticket := g.Submit(at(now), slots.Request{WaitUntil: at(now + 1)})
				switch {
				case !isGranted(ticket):
				case rapid.IntRange(0, 5).Draw(t, "cancels") == 0:
					g.Cancel(at(now))
				default:
					grantTimes = append(grantTimes, now)
					g.Done(at(now), ticket)
				}
			}
			now++
		}
		if len(grantTimes) == 0 {
			t.Fatalf("no request was granted")
		}
		for i := range grantTimes {
			grants := 0
			for j := i; j < len(grantTimes) && grantTimes[j] < grantTimes[i]+interval; j++ {
				grants++
			}
			if limit := highest*interval/1000 + 3 + highest/10 + 1; grants > limit {
				t.Fatalf("%d grants in the 4 s from %d ms", grants, grantTimes[i])
			}
		}
	})
}

// A busy node read the time before it waited for its lock, so that the gate was given
// times out of order. Each step back added the tokens of the time in between once more: a
// target got 243 requests in 4 s with a limit of 30 a second.
func TestTimesOutOfOrderAddNoTokens(t *testing.T) {
	const rate, step, lag, end = 30, 10, 50, 4000
	g := slots.New(start, 100)
	g.SetRate(start, rate)
	granted := 0
	for now := 0; now < end; now += step {
		for _, late := range []int{0, lag} {
			ticket := g.Submit(at(now-late), slots.Request{WaitUntil: at(now - late + 1)})
			if isGranted(ticket) {
				granted++
				g.Done(at(now-late), ticket)
			}
		}
	}
	assert.Assert(t, granted <= rate*end/1000+3+rate/10+1, "%d", granted)
	assert.Assert(t, granted >= rate*end/1000, "%d", granted)
}

func TestRateLimitIsUsedInFull(t *testing.T) {
	const rate = 40
	g := slots.New(start, 100)
	g.SetRate(start, rate)
	granted := 0
	var waiting []*slots.Ticket
	for now := 0; now < 10_000; now += 5 {
		waiting = append(waiting, g.Submit(at(now), slots.Request{WaitUntil: at(now + 300)}))
		g.Advance(at(now))
		kept := waiting[:0]
		for _, ticket := range waiting {
			switch {
			case isGranted(ticket):
				granted++
				g.Done(at(now), ticket)
			case ticket.RefusalReason == gage.ReasonNone:
				kept = append(kept, ticket)
			}
		}
		waiting = kept
	}
	assert.Assert(t, granted >= rate*10, "%d", granted)
}

func TestRequestsWaitForTokensInOrderOfRank(t *testing.T) {
	g := slots.New(start, 100)
	g.SetRate(start, 10)
	for isGranted(g.Submit(start, slots.Request{WaitUntil: at(1)})) {
	}
	var low []*slots.Ticket
	for range 5 {
		low = append(low, g.Submit(start, slots.Request{Rank: 2, WaitUntil: at(300)}))
	}
	assert.Equal(t, g.Waiting(), 3, "only those wait that can be served in time")
	high := g.Submit(start, slots.Request{Rank: 0, WaitUntil: at(300)})
	wait, waits := g.NextToken(start)
	assert.Assert(t, waits && wait > 0 && wait <= 100*time.Millisecond, "%s", wait)
	g.Advance(start.Add(wait))
	assert.Assert(t, isGranted(high))
	assert.Assert(t, !isGranted(low[0]))
	assert.Equal(t, low[4].RefusalReason, gage.ReasonOverload)
}

// A limit of 0 lets a request pass now and then, since only its response can tell that
// the limit has ended.
func TestALimitOfZeroCanEnd(t *testing.T) {
	g := slots.New(start, 100)
	g.SetRate(start, 0)
	granted := 0
	for now := 0; now < 60_000; now += 10 {
		if ticket := g.Submit(at(now), slots.Request{WaitUntil: at(now + 1)}); isGranted(ticket) {
			granted++
			g.Done(at(now), ticket)
		}
	}
	assert.Assert(t, granted > 20 && granted <= 35, "%d", granted)
	g.SetRate(at(60_000), math.Inf(1))
	for range 50 {
		assert.Assert(t, isGranted(g.Submit(at(60_000), slots.Request{WaitUntil: at(60_001)})))
	}
}

func TestConcurrencyFollowsTheRate(t *testing.T) {
	g := slots.New(start, 100)
	assert.Equal(t, g.Concurrency(), 100)
	g.Done(at(100), g.Submit(start, slots.Request{WaitUntil: at(1)}))
	assert.Equal(t, g.Concurrency(), 100)
	for rate, want := range map[float64]int{0: 1, 1: 1, 45: 5, 1e300: 100} {
		g.SetRate(at(100), rate)
		assert.Equal(t, g.Concurrency(), want, "%g", rate)
	}
}
