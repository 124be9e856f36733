package slots_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/slots"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func isGranted(t *slots.Ticket) bool {
	select {
	case <-t.Decided:
		return t.RefusalReason == gage.ReasonNone
	default:
		return false
	}
}

func TestNestedRequestsRunFirstAndOthersInOrderOfRank(t *testing.T) {
	g := slots.New(start, 1)
	runningTicket := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	low := g.Submit(start, slots.Request{Rank: 2, WaitUntil: at(1000)})
	high := g.Submit(start, slots.Request{Rank: 0, WaitUntil: at(1000)})
	nested := g.Submit(start, slots.Request{Nested: true, Rank: 3, WaitUntil: at(1000)})
	for _, next := range []*slots.Ticket{nested, high, low} {
		assert.Assert(t, !isGranted(next))
		g.Done(at(10), runningTicket)
		assert.Assert(t, isGranted(next))
		runningTicket = next
	}
}

func TestNewRequestsGetATurnWhileNestedOnesWait(t *testing.T) {
	g := slots.New(start, 1)
	runningTicket := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	var nestedTickets []*slots.Ticket
	for range 9 {
		nestedTickets = append(nestedTickets, g.Submit(start, slots.Request{Nested: true, WaitUntil: at(1000)}))
	}
	newRequest := g.Submit(start, slots.Request{Rank: 2, WaitUntil: at(1000)})
	grantsBefore := 0
	for !isGranted(newRequest) {
		g.Done(at(1), runningTicket)
		for _, ticket := range nestedTickets {
			if isGranted(ticket) && ticket != runningTicket {
				runningTicket = ticket
			}
		}
		grantsBefore++
	}
	assert.Equal(t, grantsBefore, 3)
}

func TestNewestRunsFirstWhenTheOldestIsLateAnyway(t *testing.T) {
	g := slots.New(start, 1)
	runningTicket := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	oldest := g.Submit(at(1), slots.Request{Nested: true, WaitUntil: at(1000)})
	newest := g.Submit(at(290), slots.Request{Nested: true, WaitUntil: at(1000)})
	g.Done(at(300), runningTicket)
	assert.Assert(t, isGranted(newest))
	assert.Assert(t, !isGranted(oldest))
}

func TestRequestIsRefusedAtWaitUntil(t *testing.T) {
	g := slots.New(start, 1)
	g.Submit(start, slots.Request{WaitUntil: at(1000)})
	waiting := g.Submit(start, slots.Request{WaitUntil: at(50)})
	g.Advance(at(49))
	assert.Equal(t, g.Waiting(), 1)
	g.Advance(at(50))
	assert.Equal(t, waiting.RefusalReason, gage.ReasonOverload)
	assert.Equal(t, g.Waiting(), 0)
	assert.Assert(t, g.Pressure(at(50)) > 0)
}

func TestWithdrawReturnsFalseAfterGrant(t *testing.T) {
	g := slots.New(start, 1)
	runningTicket := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	waiting := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	assert.Assert(t, !g.Withdraw(at(1), runningTicket, gage.ReasonCanceled))
	assert.Assert(t, g.Withdraw(at(1), waiting, gage.ReasonCanceled))
	g.Done(at(2), runningTicket)
	assert.Assert(t, !isGranted(waiting))
	assert.Equal(t, g.InFlight(), 0)
}

// No interval of one second has more grants than the cold rate plus a small
// burst, however requests arrive, and even if the target turns cold again.
func TestColdRateHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 48, 4
		g := slots.New(start, 100)
		g.ColdRate = rate
		g.SetCold(start, at(10_000))
		var grantTimes []int
		now := 0
		for now < 4000 {
			now += rapid.IntRange(0, 40).Draw(t, "gap")
			if rapid.IntRange(0, 20).Draw(t, "again") == 0 {
				g.SetCold(at(now), at(now+10_000))
			}
			for range rapid.IntRange(1, 8).Draw(t, "asks") {
				ticket := g.Submit(at(now), slots.Request{Nested: true, WaitUntil: at(now + 1)})
				g.Advance(at(now))
				if isGranted(ticket) {
					grantTimes = append(grantTimes, now)
					g.Done(at(now), ticket)
				}
			}
		}
		if len(grantTimes) == 0 {
			t.Fatalf("no request was granted")
		}
		for i := range grantTimes {
			grants := 0
			for j := i; j < len(grantTimes) && grantTimes[j] < grantTimes[i]+1000; j++ {
				grants++
			}
			if grants > rate+burst {
				t.Fatalf("%d grants in the second from %d ms", grants, grantTimes[i])
			}
		}
	})
}

// The gate never runs more requests than its limit and decides on every ticket
// once.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		g := slots.New(start, limit)
		var allTickets []*slots.Ticket
		isDone := make(map[*slots.Ticket]bool)
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 30).Draw(t, "gap")
			switch rapid.SampledFrom([]string{"ask", "ask", "done", "withdraw", "advance"}).Draw(t, "step") {
			case "ask":
				request := slots.Request{Nested: rapid.Bool().Draw(t, "nested"), Rank: rapid.IntRange(0, 9).Draw(t, "rank"), WaitUntil: at(now + rapid.IntRange(0, 50).Draw(t, "wait"))}
				allTickets = append(allTickets, g.Submit(at(now), request))
			case "done":
				for _, ticket := range allTickets {
					if isGranted(ticket) && !isDone[ticket] {
						isDone[ticket] = true
						g.Done(at(now), ticket)
						break
					}
				}
			case "withdraw":
				if len(allTickets) > 0 {
					ticket := rapid.SampledFrom(allTickets).Draw(t, "ticket")
					wasGranted := isGranted(ticket)
					if g.Withdraw(at(now), ticket, gage.ReasonCanceled) == wasGranted {
						t.Fatalf("Withdraw must return true exactly if the request was not granted")
					}
				}
			case "advance":
				g.Advance(at(now))
			}
			running, waiting := 0, 0
			for _, ticket := range allTickets {
				select {
				case <-ticket.Decided:
					if ticket.RefusalReason == gage.ReasonNone && !isDone[ticket] {
						running++
					}
				default:
					waiting++
				}
			}
			if running > limit || running != g.InFlight() || waiting != g.Waiting() {
				t.Fatalf("%d requests run with limit %d and %d wait; the gate reports %d and %d", running, limit, waiting, g.InFlight(), g.Waiting())
			}
		}
	})
}

func TestNestedRequestsRunByChainDeadline(t *testing.T) {
	g := slots.New(start, 1)
	runningTicket := g.Submit(start, slots.Request{WaitUntil: at(1000)})
	late := g.Submit(at(1), slots.Request{Nested: true, WaitUntil: at(1000), ChainDeadline: at(2000)})
	soon := g.Submit(at(2), slots.Request{Nested: true, WaitUntil: at(1000), ChainDeadline: at(1100)})
	unmeetable := g.Submit(at(3), slots.Request{Nested: true, WaitUntil: at(40), ChainDeadline: at(40)})
	for i, next := range []*slots.Ticket{soon, late, unmeetable} {
		assert.Assert(t, !isGranted(next))
		g.Done(at(10+i), runningTicket)
		assert.Assert(t, isGranted(next))
		runningTicket = next
	}
}

// A request that was granted and not sent frees its slot, counts as no run, and leaves a
// cold target its token.
func TestCanceledGrantsCostNothing(t *testing.T) {
	g := slots.New(start, 1)
	g.ColdRate = 1
	g.SetCold(start, at(60_000))
	granted := 0
	for range 20 {
		ticket := g.Submit(at(1), slots.Request{WaitUntil: at(1000)})
		if isGranted(ticket) {
			granted++
			g.Cancel(at(1))
		}
	}
	assert.Equal(t, granted, 20)
	assert.Equal(t, g.InFlight(), 0)
	assert.Equal(t, g.MeanRunTime(), time.Duration(0))
}
