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

// model is a reference model of a gate. It holds the waiting and the running calls,
// and the time at which a call of each rank was last admitted.
type model struct {
	gate       *gate.Gate
	options    gate.Options
	now        time.Time
	nextID     uint64
	draining   bool
	waiting    map[uint64]shed.Entry
	running    []shed.Entry
	admittedAt [8]time.Time
}

func (m *model) applyDecisions(t *rapid.T, decisions []gate.Decision) {
	for _, d := range decisions {
		e, ok := m.waiting[d.ID]
		assert.Assert(t, ok, "decision for call %d, which is not waiting", d.ID)
		delete(m.waiting, d.ID)
		if !d.Admitted {
			m.checkRefusal(t, e, d)
			continue
		}
		assert.Equal(t, d.Reason, gage.ReasonNone)
		assert.Assert(t, !m.draining)
		assert.Equal(t, shed.ExpiryReason(m.now, e, 0), gage.ReasonNone)
		m.running = append(m.running, e)
		m.admittedAt[e.Rank] = m.now
	}
}

// checkRefusal checks that a refusal has a reason and a retry delay. It also checks
// that no less important call was admitted after the refused one arrived.
func (m *model) checkRefusal(t *rapid.T, e shed.Entry, d gate.Decision) {
	assert.Assert(t, d.Reason != gage.ReasonNone && d.RetryAfter > 0)
	assert.Equal(t, d.Reason == gage.ReasonDraining, m.draining)
	if d.Reason == gage.ReasonNestedOverload || m.options.Policy != gage.PolicyAdaptive {
		return
	}
	for rank := e.Rank + 1; rank < shed.RankCount; rank++ {
		assert.Assert(t, !m.admittedAt[rank].After(e.ArrivedAt), "%+v was refused for %s although a call of rank %d was admitted after it arrived", e, d.Reason, rank)
	}
}

func (m *model) check(t *rapid.T) {
	load := m.gate.Load()
	assert.Equal(t, load.InFlight, len(m.running))
	assert.Equal(t, load.Queued, len(m.waiting))
	assert.Assert(t, load.Limit >= 1 && load.Limit <= gate.MaxInFlight)
	assert.Assert(t, load.InFlight <= load.Limit)
	assert.Assert(t, load.ShedRank >= 1 && load.ShedRank <= len(gage.Importances))
	if m.options.MaxConcurrency > 0 && m.options.Policy != gage.PolicyNone {
		assert.Assert(t, load.InFlight <= m.options.MaxConcurrency)
	}
	if load.Queued > 0 {
		assert.Equal(t, load.InFlight, load.Limit, "calls wait although slots are free")
	}
}

func (m *model) arrive(t *rapid.T) {
	m.nextID++
	e := shed.Entry{
		ID:        m.nextID,
		Rank:      rapid.IntRange(0, shed.RankCount-1).Draw(t, "rank"),
		Nested:    rapid.Bool().Draw(t, "nested"),
		Route:     rapid.SampledFrom([]string{"book", "dates"}).Draw(t, "route"),
		Workspace: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "workspace"),
		ShedOrder: rapid.Uint32().Draw(t, "order"),
		ArrivedAt: m.now,
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "deadline")) * time.Millisecond),
		AdmitBy:   m.now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "admit by")) * time.Millisecond),
	}
	m.waiting[e.ID] = e
	m.applyDecisions(t, m.gate.Arrive(m.now, e))
}

// takeRunning removes a random running call from the model.
func (m *model) takeRunning(t *rapid.T) (shed.Entry, bool) {
	if len(m.running) == 0 {
		return shed.Entry{}, false
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	e := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
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

func TestGateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		m := &model{gate: gate.New(epoch, options), options: options, now: epoch, waiting: make(map[uint64]shed.Entry)}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"arrive many": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "calls") {
					m.arrive(t)
				}
			},
			"release": func(t *rapid.T) {
				e, ok := m.takeRunning(t)
				if !ok {
					return
				}
				m.applyDecisions(t, m.gate.Release(m.now, gate.Completion{
					Entry:      e,
					Latency:    time.Duration(rapid.IntRange(0, 400).Draw(t, "latency")) * time.Millisecond,
					Failed:     rapid.Bool().Draw(t, "failed"),
					NestedShed: rapid.Bool().Draw(t, "nested shed"),
				}))
			},
			"return": func(t *rapid.T) {
				if _, ok := m.takeRunning(t); ok {
					m.applyDecisions(t, m.gate.ReleaseUnused(m.now))
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, m.nextID).Draw(t, "id")
				_, isWaiting := m.waiting[id]
				assert.Equal(t, m.gate.Cancel(m.now, id), isWaiting)
				delete(m.waiting, id)
			},
			"tick": func(t *rapid.T) {
				m.applyDecisions(t, m.gate.Tick(m.now))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond)
				m.applyDecisions(t, m.gate.Tick(m.now))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "drain") > 0 {
					return
				}
				m.draining = true
				m.applyDecisions(t, m.gate.Drain(m.now))
			},
			"": m.check,
		})
	})
}
