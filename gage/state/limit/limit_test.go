package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/limit"
)

var start = time.Unix(1_800_000_000, 0)

// target simulates a target that always has as many calls in flight as the limit
// allows. After a cut of the limit, the number of calls in flight falls by one with
// each response.
type target struct {
	limit    *limit.Limit
	inFlight int
	now      time.Time
	rng      *rand.Rand
	// serve returns the latency of a call and whether it fails, given the
	// number of calls in flight.
	serve          func(inFlight int) (time.Duration, bool)
	capacityLosses int
}

func newTarget(options limit.Options, serve func(int) (time.Duration, bool)) *target {
	return &target{
		limit: limit.New(start, options),
		now:   start,
		rng:   rand.New(rand.NewPCG(1, 2)),
		serve: serve,
	}
}

// run serves calls for the given simulated time.
func (t *target) run(length time.Duration) {
	end := t.now.Add(length)
	for t.now.Before(end) {
		t.inFlight = max(t.inFlight, t.limit.Current())
		latency, failed := t.serve(t.inFlight)
		latency = time.Duration((0.5 + t.rng.Float64()) * float64(latency))
		t.now = t.now.Add(latency / time.Duration(t.inFlight))
		t.limit.MarkSaturated()
		t.inFlight--
		if t.limit.Observe(t.now, latency, failed, t.inFlight) == limit.VerdictCapacityLost {
			t.capacityLosses++
		}
	}
}

// slotLatency returns the serve function of a target with n slots. A call takes
// 50 ms times slowdown. While more than n calls are in flight, it takes longer in
// proportion to their number.
func slotLatency(n int, slowdown float64) func(int) (time.Duration, bool) {
	return func(inFlight int) (time.Duration, bool) {
		load := max(1, float64(inFlight)/float64(n))
		return time.Duration(slowdown * load * float64(50*time.Millisecond)), false
	}
}

// failingShare returns a serve function that fails the given share of calls,
// all of which take 50 ms.
func failingShare(share float64) func(int) (time.Duration, bool) {
	calls := 0.0
	return func(int) (time.Duration, bool) {
		calls += share
		if calls >= 1 {
			calls--
			return 50 * time.Millisecond, true
		}
		return 50 * time.Millisecond, false
	}
}

var options = limit.Options{Start: 32, Floor: 4, Ceiling: 200}

func TestConvergesToSlotsOfTarget(t *testing.T) {
	for _, n := range []int{8, 40, 150} {
		target := newTarget(options, slotLatency(n, 1))
		target.run(30 * time.Second)
		current := target.limit.Current()
		t.Logf("%d slots: limit %d", n, current)
		assert.Assert(t, current >= n*8/10 && current <= n*14/10)
	}
}

func TestSlowTargetKeepsLimit(t *testing.T) {
	target := newTarget(options, slotLatency(40, 1))
	target.run(20 * time.Second)
	target.serve = slotLatency(40, 5)
	target.run(5 * time.Second)
	lowest := target.limit.Current()
	for range 20 {
		target.run(time.Second)
		lowest = min(lowest, target.limit.Current())
	}
	t.Logf("lowest limit while slow: %d", lowest)
	assert.Assert(t, lowest >= 20)
	assert.Equal(t, target.capacityLosses, 0)
}

func TestTargetThatLosesSlotsGetsLowerLimit(t *testing.T) {
	target := newTarget(options, slotLatency(100, 1))
	target.run(20 * time.Second)
	target.serve = slotLatency(10, 1)
	target.run(5 * time.Second)
	assert.Assert(t, target.capacityLosses >= 1)
	assert.Assert(t, target.limit.Current() <= 20, "limit %d", target.limit.Current())
}

func TestConstantFailuresDoNotCutLimit(t *testing.T) {
	target := newTarget(options, failingShare(0.3))
	target.run(30 * time.Second)
	assert.Assert(t, target.limit.Current() >= 32, "limit %d", target.limit.Current())
}

func TestFallsToFloorWhenMostCallsFail(t *testing.T) {
	target := newTarget(options, failingShare(0))
	target.run(5 * time.Second)
	target.serve = failingShare(0.9)
	target.run(3 * time.Second)
	assert.Assert(t, target.capacityLosses >= 1)
	assert.Assert(t, target.limit.Current() <= 2*options.Floor, "limit %d", target.limit.Current())
}

func TestLimitStaysInBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	target := newTarget(options, func(int) (time.Duration, bool) {
		return time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond)), rng.IntN(5) == 0
	})
	for range 600 {
		target.run(100 * time.Millisecond)
		current := target.limit.Current()
		assert.Assert(t, current >= options.Floor && current <= options.Ceiling)
	}
}
