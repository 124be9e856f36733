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

// fakeTarget implements the interfaces on which a Host depends: the clock, the
// address book, admission and the target itself.
type fakeTarget struct {
	now     time.Time
	phase   gage.TargetPhase
	refusal gage.Result
	// onSend is called while the call is in flight, unless it is nil.
	onSend func(s *fakeTarget, token string)
	answer gage.Result
	// sent is the number of calls sent to the target.
	sent int
	// released is set once Release or ReleaseShed was called, and releasedShed
	// once ReleaseShed was called. failed and serviceTime are the arguments.
	released     bool
	releasedShed bool
	failed       bool
	serviceTime  time.Duration
}

func (s *fakeTarget) Now() time.Time { return s.now }

func (s *fakeTarget) Address(string) (string, gage.TargetPhase, bool) {
	return "127.0.0.1:1", s.phase, s.phase != ""
}

func (s *fakeTarget) Load(string) gage.Load { return gage.Load{Limit: 3} }

func (s *fakeTarget) Admit(context.Context, string, gage.Call) (gage.Admission, gage.Result) {
	return gage.Admission{
		Target:     "t",
		AdmittedAt: s.now,
		Release: func(_ time.Time, serviceTime time.Duration, failed bool) {
			s.released, s.serviceTime, s.failed = true, serviceTime, failed
		},
		ReleaseShed: func(_ time.Time, serviceTime time.Duration) {
			s.released, s.serviceTime, s.releasedShed = true, serviceTime, true
		},
	}, s.refusal
}

func (s *fakeTarget) Send(_ context.Context, _, token string, _ gage.Call) gage.Result {
	s.sent++
	if s.onSend != nil {
		s.onSend(s, token)
	}
	return s.answer
}

func newHost(s *fakeTarget) (*host.Host, *host.ActiveCalls) {
	activeCalls := host.NewActiveCalls()
	return host.New(host.Options{
		VM: "b1", Admitter: s, Sender: s, AddressBook: s, ActiveCalls: activeCalls, Recent: recent.New(8), Clock: s,
	}), activeCalls
}

func servingTarget() *fakeTarget {
	return &fakeTarget{
		now:    time.Unix(1_800_000_000, 0),
		phase:  gage.TargetServing,
		answer: gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK},
	}
}

func TestRunRefusesWithoutSending(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(s *fakeTarget, h *host.Host)
		want  gage.Reason
	}{
		{"unknown target", func(s *fakeTarget, _ *host.Host) { s.phase = "" }, gage.ReasonNoTarget},
		{"draining", func(s *fakeTarget, _ *host.Host) { s.phase = gage.TargetDraining }, gage.ReasonDraining},
		{"stopping", func(_ *fakeTarget, h *host.Host) { h.Stop() }, gage.ReasonStopping},
		{"not admitted", func(s *fakeTarget, _ *host.Host) {
			s.refusal = gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonQueueFull}
		}, gage.ReasonQueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := servingTarget()
			h, _ := newHost(s)
			c.setUp(s, h)
			result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x", RetryBudget: 2})
			assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
			assert.Equal(t, result.Reason, c.want)
			assert.Equal(t, result.RetryBudget, 2)
			assert.Equal(t, s.sent, 0)
			assert.Assert(t, !s.released)
		})
	}
}

func TestServiceTimeExcludesNestedCalls(t *testing.T) {
	s := servingTarget()
	h, activeCalls := newHost(s)
	s.onSend = func(s *fakeTarget, token string) {
		active, ok := activeCalls.Find(token)
		assert.Assert(t, ok)
		step := func(d time.Duration) { s.now = s.now.Add(d) }
		ran := gage.Result{Outcome: gage.OutcomeRan}
		step(5 * time.Millisecond)
		active.BeginNested(s.now)
		step(10 * time.Millisecond)
		active.BeginNested(s.now)
		step(10 * time.Millisecond)
		active.EndNested(s.now, true, ran)
		step(10 * time.Millisecond)
		active.EndNested(s.now, true, ran)
		step(5 * time.Millisecond)
	}
	result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"})
	assert.Equal(t, result.Outcome, gage.OutcomeRan)
	assert.Equal(t, s.serviceTime, 10*time.Millisecond)
	assert.Assert(t, !s.failed && !result.NestedSideEffects)
	assert.Equal(t, activeCalls.Len(), 0)
}

func TestShedNestedCallIsNotTargetFailure(t *testing.T) {
	reasons := []gage.Reason{
		gage.ReasonOverload, gage.ReasonQueueFull, gage.ReasonColdStart,
		gage.ReasonNestedOverload, gage.ReasonStaleDecision,
	}
	for _, reason := range reasons {
		t.Run(string(reason), func(t *testing.T) {
			s := servingTarget()
			h, activeCalls := newHost(s)
			s.answer.Status = http.StatusBadGateway
			s.onSend = func(s *fakeTarget, token string) {
				active, _ := activeCalls.Find(token)
				active.BeginNested(s.now)
				active.EndNested(s.now, false, gage.Result{Outcome: gage.OutcomeNotRun, Reason: reason})
			}
			result := h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"})
			assert.Assert(t, s.releasedShed)
			assert.Assert(t, !result.NestedSideEffects, "a refused nested call did not run")
		})
	}
}

func TestNestedSideEffectsAreReported(t *testing.T) {
	s := servingTarget()
	h, activeCalls := newHost(s)
	s.onSend = func(s *fakeTarget, token string) {
		active, _ := activeCalls.Find(token)
		active.BeginNested(s.now)
		active.EndNested(s.now, false, gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed})
	}
	assert.Assert(t, h.Run(context.Background(), "t", gage.Call{RequestID: "a1.x"}).NestedSideEffects)
}
