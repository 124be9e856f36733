package gate_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// ledger is what a gate must agree with: who waits, who runs, and when a call
// of each rank was last admitted.
type ledger struct {
	gate       *gate.Gate
	options    gate.Options
	now        time.Time
	nextID     uint64
	draining   bool
	waiting    map[uint64]shed.Entry
	running    []shed.Entry
	admittedAt [8]time.Time
}

func (l *ledger) settle(t *rapid.T, decisions []gate.Decision) {
	for _, d := range decisions {
		e, ok := l.waiting[d.ID]
		assert.Assert(t, ok, "%d was settled but does not wait", d.ID)
		delete(l.waiting, d.ID)
		if !d.Admitted {
			l.checkRefusal(t, e, d)
			continue
		}
		assert.Equal(t, d.Reason, gage.ReasonNone)
		assert.Assert(t, !l.draining)
		assert.Equal(t, shed.ExpiryReason(l.now, e, 0), gage.ReasonNone)
		l.running = append(l.running, e)
		l.admittedAt[e.Rank] = l.now
	}
}

func (l *ledger) checkRefusal(t *rapid.T, e shed.Entry, d gate.Decision) {
	assert.Assert(t, d.Reason != gage.ReasonNone && d.RetryAfter > 0)
	assert.Equal(t, d.Reason == gage.ReasonDraining, l.draining)
	if d.Reason == gage.ReasonNestedOverload || l.options.Policy != gage.PolicyAdaptive {
		return
	}
	for rank := e.Rank + 1; rank < shed.RankCount; rank++ {
		assert.Assert(t, !l.admittedAt[rank].After(e.ArrivedAt), "%+v refused for %s though rank %d was admitted", e, d.Reason, rank)
	}
}

func (l *ledger) check(t *rapid.T) {
	load := l.gate.Load()
	assert.Equal(t, load.InFlight, len(l.running))
	assert.Equal(t, load.Queued, len(l.waiting))
	assert.Assert(t, load.Limit >= 1 && load.Limit <= gate.MaxInFlight)
	assert.Assert(t, load.InFlight <= load.Limit)
	assert.Assert(t, load.ShedRank >= 1 && load.ShedRank <= len(gage.Importances))
	if l.options.MaxConcurrency > 0 && l.options.Policy != gage.PolicyNone {
		assert.Assert(t, load.InFlight <= l.options.MaxConcurrency)
	}
	if load.Queued > 0 {
		assert.Equal(t, load.InFlight, load.Limit, "calls wait while slots are free")
	}
}

func (l *ledger) arrive(t *rapid.T) {
	l.nextID++
	e := shed.Entry{
		ID:        l.nextID,
		Rank:      rapid.IntRange(0, shed.RankCount-1).Draw(t, "rank"),
		Nested:    rapid.Bool().Draw(t, "nested"),
		Route:     rapid.SampledFrom([]string{"book", "dates"}).Draw(t, "route"),
		Workspace: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "workspace"),
		ShedOrder: rapid.Uint32().Draw(t, "order"),
		ArrivedAt: l.now,
		Deadline:  l.now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "deadline")) * time.Millisecond),
		AdmitBy:   l.now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "admit by")) * time.Millisecond),
	}
	l.waiting[e.ID] = e
	l.settle(t, l.gate.Arrive(l.now, e))
}

func (l *ledger) take(t *rapid.T) (shed.Entry, bool) {
	if len(l.running) == 0 {
		return shed.Entry{}, false
	}
	i := rapid.IntRange(0, len(l.running)-1).Draw(t, "running")
	e := l.running[i]
	l.running = slices.Delete(l.running, i, i+1)
	return e, true
}

func drawOptions(t *rapid.T) gate.Options {
	return gate.Options{
		Policy: rapid.SampledFrom([]gage.Policy{
			gage.PolicyAdaptive, gage.PolicyAdaptive, gage.PolicyFixed, gage.PolicyNone, gage.PolicyQueueDelay,
		}).Draw(t, "policy"),
		MaxConcurrency:  rapid.IntRange(0, 6).Draw(t, "max concurrency"),
		CapacityHint:    rapid.IntRange(0, 6).Draw(t, "hint"),
		ColdStart:       time.Duration(rapid.IntRange(0, 2).Draw(t, "cold start")) * time.Second,
		ColdConcurrency: rapid.IntRange(0, 3).Draw(t, "cold concurrency"),
	}
}

func TestGateAgainstLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		l := &ledger{gate: gate.New(epoch, options), options: options, now: epoch, waiting: make(map[uint64]shed.Entry)}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": l.arrive,
			"arrive many": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "calls") {
					l.arrive(t)
				}
			},
			"release": func(t *rapid.T) {
				e, ok := l.take(t)
				if !ok {
					return
				}
				l.settle(t, l.gate.Release(l.now, gate.Completion{
					Entry:      e,
					Latency:    time.Duration(rapid.IntRange(0, 400).Draw(t, "latency")) * time.Millisecond,
					Failed:     rapid.Bool().Draw(t, "failed"),
					NestedShed: rapid.Bool().Draw(t, "nested shed"),
				}))
			},
			"return": func(t *rapid.T) {
				if _, ok := l.take(t); ok {
					l.settle(t, l.gate.ReleaseUnused(l.now))
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, l.nextID).Draw(t, "id")
				_, waits := l.waiting[id]
				assert.Equal(t, l.gate.Cancel(l.now, id), waits)
				delete(l.waiting, id)
			},
			"tick": func(t *rapid.T) {
				l.settle(t, l.gate.Tick(l.now))
			},
			"wait": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond)
				l.settle(t, l.gate.Tick(l.now))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "drain") > 0 {
					return
				}
				l.draining = true
				l.settle(t, l.gate.Drain(l.now))
			},
			"": l.check,
		})
	})
}
