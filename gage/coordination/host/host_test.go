package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// stand stands in for admission and the target.
type stand struct {
	now     time.Time
	phase   gage.TargetPhase
	refusal gage.Result
	// during runs while the target holds the call.
	during func(s *stand, token string)
	answer gage.Result
	sent   int
	// The way in which the slot came back.
	released bool
	shed     bool
	failed   bool
	own      time.Duration
}

func (s *stand) Now() time.Time { return s.now }

func (s *stand) Address(string) (string, gage.TargetPhase, bool) {
	return "127.0.0.1:1", s.phase, s.phase != ""
}

func (s *stand) Load(string) gage.Load { return gage.Load{Limit: 3} }

func (s *stand) Admit(context.Context, string, gage.Call) (gage.Admission, gage.Result) {
	return gage.Admission{
		Target:     "t",
		AdmittedAt: s.now,
		Release: func(_ time.Time, own time.Duration, failed bool) {
			s.released, s.own, s.failed = true, own, failed
		},
		ReleaseShed: func(_ time.Time, own time.Duration) {
			s.released, s.own, s.shed = true, own, true
		},
	}, s.refusal
}

func (s *stand) Send(_ context.Context, _, token string, _ gage.Call) gage.Result {
	s.sent++
	if s.during != nil {
		s.during(s, token)
	}
	return s.answer
}

func newHost(s *stand) (*host.Host, *host.Flights) {
	flights := host.NewFlights()
	return host.New(host.Options{
		VM: "b1", Admitter: s, Sender: s, Addresses: s, Flights: flights, Recent: recent.New(8), Clock: s,
	}), flights
}

func serving() *stand {
	return &stand{
		now:    time.Unix(1_800_000_000, 0),
		phase:  gage.TargetServing,
		answer: gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK},
	}
}

func TestRunRefusesWithoutSending(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *stand, h *host.Host)
		want   gage.Reason
	}{
		{"unknown target", func(s *stand, _ *host.Host) { s.phase = "" }, gage.ReasonNoTarget},
		{"draining", func(s *stand, _ *host.Host) { s.phase = gage.TargetDraining }, gage.ReasonDraining},
		{"stopping", func(_ *stand, h *host.Host) { h.Stop() }, gage.ReasonStopping},
		{"not admitted", func(s *stand, _ *host.Host) {
			s.refusal = gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonQueueFull}
		}, gage.ReasonQueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serving()
			h, _ := newHost(s)
			c.change(s, h)
			result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x", RetryBudget: 2})
			assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
			assert.Equal(t, result.Reason, c.want)
			assert.Equal(t, result.RetryBudget, 2)
			assert.Equal(t, s.sent, 0)
			assert.Assert(t, !s.released)
		})
	}
}

func TestOwnTimeLeavesNestedCallsOut(t *testing.T) {
	s := serving()
	h, flights := newHost(s)
	s.during = func(s *stand, token string) {
		flight, ok := flights.Find(token)
		assert.Assert(t, ok)
		step := func(d time.Duration) { s.now = s.now.Add(d) }
		ran := gage.Result{Outcome: gage.OutcomeRan}
		step(5 * time.Millisecond)
		flight.BeginNested(s.now)
		step(10 * time.Millisecond)
		flight.BeginNested(s.now)
		step(10 * time.Millisecond)
		flight.EndNested(s.now, true, ran)
		step(10 * time.Millisecond)
		flight.EndNested(s.now, true, ran)
		step(5 * time.Millisecond)
	}
	result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"})
	assert.Equal(t, result.Outcome, gage.OutcomeRan)
	assert.Equal(t, s.own, 10*time.Millisecond)
	assert.Assert(t, !s.failed && !result.NestedSideEffects)
	assert.Equal(t, flights.Len(), 0)
}

func TestNestedRefusalIsNotTheTargetsFailure(t *testing.T) {
	reasons := []gage.Reason{
		gage.ReasonOverload, gage.ReasonQueueFull, gage.ReasonColdStart,
		gage.ReasonNestedOverload, gage.ReasonStaleDecision,
	}
	for _, reason := range reasons {
		t.Run(string(reason), func(t *testing.T) {
			s := serving()
			h, flights := newHost(s)
			s.answer.Status = http.StatusBadGateway
			s.during = func(s *stand, token string) {
				flight, _ := flights.Find(token)
				flight.BeginNested(s.now)
				flight.EndNested(s.now, false, gage.Result{Outcome: gage.OutcomeNotRun, Reason: reason})
			}
			result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"})
			assert.Assert(t, s.shed)
			assert.Assert(t, !result.NestedSideEffects, "a refused nested call did not run")
		})
	}
}

func TestNestedWorkIsTold(t *testing.T) {
	s := serving()
	h, flights := newHost(s)
	s.during = func(s *stand, token string) {
		flight, _ := flights.Find(token)
		flight.BeginNested(s.now)
		flight.EndNested(s.now, false, gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed})
	}
	assert.Assert(t, h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"}).NestedSideEffects)
}
