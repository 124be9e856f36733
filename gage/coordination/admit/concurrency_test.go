package admit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/admit"
)

// advancingClock advances by a millisecond with each call of Now.
type advancingClock struct{ reads atomic.Int64 }

func (c *advancingClock) Now() time.Time {
	return startTime.Add(time.Duration(c.reads.Add(1)) * time.Millisecond)
}

// In TestConcurrentCallsDuringRestarts, many goroutines admit, release and cancel
// calls while the target restarts. The number of concurrent calls must not exceed
// the maximum, each call must be admitted or refused, and all slots must be free
// at the end.
func TestConcurrentCallsDuringRestarts(t *testing.T) {
	const concurrency, callers, callsPerCaller = 5, 40, 50
	clock := &advancingClock{}
	a := admit.New(admit.Options{Clock: clock})
	t.Cleanup(a.Close)
	service := gage.Service{Name: "custody", MaxConcurrency: concurrency, ColdConcurrency: 1}
	record := gage.TargetRecord{Name: "custody-1", Service: "custody", Phase: gage.TargetServing, Incarnation: 1}
	assert.NilError(t, a.SetTarget(startTime, record, service))

	var running, maxRunning, admitted, refused atomic.Int64
	admitOne := func(rng *rand.Rand, id string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if rng.IntN(4) == 0 {
			time.AfterFunc(time.Duration(rng.IntN(500))*time.Microsecond, cancel)
		}
		c := newCall(id)
		c.Importance = gage.Importances[rng.IntN(len(gage.Importances))]
		c.Depth = 1 + rng.IntN(2)
		c.Deadline = time.Time{}
		c.AdmitBy = time.Time{}
		admission, r := a.Admit(ctx, "custody-1", c)
		if r.Outcome == gage.OutcomeNotRun {
			assert.Check(t, r.Reason != gage.ReasonNone)
			refused.Add(1)
			return
		}
		admitted.Add(1)
		current := running.Add(1)
		for previous := maxRunning.Load(); current > previous && !maxRunning.CompareAndSwap(previous, current); previous = maxRunning.Load() {
		}
		running.Add(-1)
		if rng.IntN(5) == 0 {
			admission.ReleaseShed(clock.Now(), time.Millisecond)
			return
		}
		admission.Release(clock.Now(), time.Millisecond, rng.IntN(5) == 0)
	}

	var callerGoroutines sync.WaitGroup
	for caller := range callers {
		callerGoroutines.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(caller), 5))
			for i := range callsPerCaller {
				admitOne(rng, fmt.Sprintf("a.%d.%d", caller, i))
			}
		})
	}
	for incarnation := uint64(2); incarnation < 10; incarnation++ {
		record.Incarnation = incarnation
		assert.NilError(t, a.SetTarget(startTime, record, service))
	}
	callerGoroutines.Wait()

	assert.Equal(t, admitted.Load()+refused.Load(), int64(callers*callsPerCaller))
	assert.Assert(t, maxRunning.Load() <= concurrency, "%d calls ran concurrently", maxRunning.Load())
	waitUntilIdle(t, a)
}

// waitUntilIdle waits until the worker has processed the last releases. It fails
// the test if slots are still in use or calls still wait after about 1 s.
func waitUntilIdle(t *testing.T, a *admit.Admitter) {
	t.Helper()
	for range 1000 {
		load := a.Load("custody-1")
		if load.InFlight == 0 && load.Queued == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("slots still in use or calls still waiting after 1 s: %+v", a.Load("custody-1"))
}

func TestDrainingTargetRefusesNewCalls(t *testing.T) {
	a := newAdmitter(t, 2)
	firstAdmission, _ := a.Admit(context.Background(), "custody-1", newCall("a.1"))
	record := gage.TargetRecord{Name: "custody-1", Service: "custody", Phase: gage.TargetDraining, Incarnation: 1}
	assert.NilError(t, a.SetTarget(startTime, record, gage.Service{Name: "custody", MaxConcurrency: 2}))
	for {
		// The worker goroutine applies the new phase asynchronously.
		admission, r := a.Admit(context.Background(), "custody-1", newCall("a.2"))
		if r.Outcome == gage.OutcomeNotRun {
			assert.Equal(t, r.Reason, gage.ReasonDraining)
			break
		}
		admission.Release(startTime, time.Millisecond, false)
	}
	firstAdmission.Release(startTime, time.Millisecond, false)
	waitUntilIdle(t, a)
}

func TestExpiredCallIsRefused(t *testing.T) {
	cases := []struct {
		name   string
		modify func(*gage.Call)
		reason gage.Reason
	}{
		{"deadline", func(c *gage.Call) { c.Deadline = startTime.Add(-time.Millisecond) }, gage.ReasonDeadline},
		{"admit by", func(c *gage.Call) { c.AdmitBy = startTime.Add(-time.Millisecond) }, gage.ReasonStaleDecision},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := newAdmitter(t, 1)
			c := newCall("a.1")
			tc.modify(&c)
			_, r := a.Admit(context.Background(), "custody-1", c)
			assert.Equal(t, r.Outcome, gage.OutcomeNotRun)
			assert.Equal(t, r.Reason, tc.reason)
			assert.Assert(t, r.RetryAfter > 0)
		})
	}
}

func TestSetTargetRefusesTooManyTargets(t *testing.T) {
	a := admit.New(admit.Options{Clock: fixedClock{startTime}})
	t.Cleanup(a.Close)
	setTarget := func(i int) error {
		record := gage.TargetRecord{Name: fmt.Sprintf("custody-%d", i), Phase: gage.TargetServing}
		return a.SetTarget(startTime, record, gage.Service{Name: "custody"})
	}
	for i := range gage.MaxTargetsPerVM {
		assert.NilError(t, setTarget(i))
	}
	assert.ErrorContains(t, setTarget(gage.MaxTargetsPerVM), "already has the maximum of 8 targets")
}

func BenchmarkAdmitRelease(b *testing.B) {
	clock := &advancingClock{}
	a := admit.New(admit.Options{Clock: clock})
	defer a.Close()
	record := gage.TargetRecord{Name: "custody-1", Service: "custody", Phase: gage.TargetServing, Incarnation: 1, CapacityHint: 100}
	if err := a.SetTarget(startTime, record, gage.Service{Name: "custody"}); err != nil {
		b.Fatal(err)
	}
	c := newCall("a.1")
	c.Deadline, c.AdmitBy = time.Time{}, time.Time{}
	b.ReportAllocs()
	for b.Loop() {
		admission, r := a.Admit(context.Background(), "custody-1", c)
		if r.Outcome == gage.OutcomeNotRun {
			b.Fatal(r.Reason)
		}
		admission.Release(startTime, time.Millisecond, false)
	}
}
