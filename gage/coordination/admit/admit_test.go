package admit_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/admit"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixedClock always returns the same time.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

var startTime = time.Unix(1_800_000_000, 0)

// newAdmitter returns an admitter for the target custody-1 with a fixed
// concurrency limit.
func newAdmitter(t *testing.T, concurrency int) *admit.Admitter {
	t.Helper()
	a := admit.New(admit.Options{Clock: fixedClock{startTime}, Policy: gage.PolicyFixed})
	t.Cleanup(a.Close)
	record := gage.TargetRecord{Name: "custody-1", Service: "custody", Phase: gage.TargetServing, Incarnation: 1}
	assert.NilError(t, a.SetTarget(startTime, record, gage.Service{Name: "custody", MaxConcurrency: concurrency}))
	return a
}

func newCall(id string) gage.Call {
	return gage.Call{
		RequestID:  id,
		RootID:     id,
		Depth:      1,
		Workspace:  "north",
		Importance: gage.ImportanceNormal,
		Deadline:   startTime.Add(time.Second),
		AdmitBy:    startTime.Add(time.Second),
	}
}

func TestAdmitRefusesUnknownTarget(t *testing.T) {
	a := newAdmitter(t, 1)
	_, r := a.Admit(context.Background(), "custody-9", newCall("a.1"))
	assert.Equal(t, r.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, r.Reason, gage.ReasonNoTarget)
}

func TestAdmitWaitsForRelease(t *testing.T) {
	a := newAdmitter(t, 1)
	firstAdmission, r := a.Admit(context.Background(), "custody-1", newCall("a.1"))
	assert.Equal(t, r.Outcome, gage.Outcome(""))

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, r = a.Admit(ctx, "custody-1", newCall("a.2"))
	assert.Equal(t, r.Reason, gage.ReasonCanceled)

	firstAdmission.Release(startTime, time.Millisecond, false)
	secondAdmission, r := a.Admit(context.Background(), "custody-1", newCall("a.3"))
	assert.Equal(t, r.Outcome, gage.Outcome(""))
	secondAdmission.Release(startTime, time.Millisecond, false)
}

func TestRemoveTargetRefusesWaitingCall(t *testing.T) {
	a := newAdmitter(t, 1)
	firstAdmission, _ := a.Admit(context.Background(), "custody-1", newCall("a.1"))
	result := make(chan gage.Result)
	go func() {
		_, r := a.Admit(context.Background(), "custody-1", newCall("a.2"))
		result <- r
	}()
	a.RemoveTarget(startTime, "custody-1")
	r := <-result
	assert.Equal(t, r.Outcome, gage.OutcomeNotRun)
	firstAdmission.Release(startTime, time.Millisecond, false)
}
