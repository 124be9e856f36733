package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/limit"
)

var start = time.Unix(1_800_000_000, 0)

// target answers calls in a closed loop that always fills the limit. After a
// cut the calls in flight fall by one with each answer.
type target struct {
	limit    *limit.Limit
	inFlight int
	now      time.Time
	rng      *rand.Rand
	// serve returns the latency and failure of a call among so many.
	serve func(inFlight int) (time.Duration, bool)
	lost  int
}

func newTarget(options limit.Options, serve func(int) (time.Duration, bool)) *target {
	return &target{
		limit: limit.New(start, options),
		now:   start,
		rng:   rand.New(rand.NewPCG(1, 2)),
		serve: serve,
	}
}

// run lets the target work for some time.
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
			t.lost++
		}
	}
}

// slots serves up to n calls at once in 50 ms times slow.
func slots(n int, slow float64) func(int) (time.Duration, bool) {
	return func(inFlight int) (time.Duration, bool) {
		load := max(1, float64(inFlight)/float64(n))
		return time.Duration(slow * load * float64(50*time.Millisecond)), false
	}
}

func failing(share float64) func(int) (time.Duration, bool) {
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

func TestFindsSlots(t *testing.T) {
	for _, n := range []int{8, 40, 150} {
		target := newTarget(options, slots(n, 1))
		target.run(30 * time.Second)
		current := target.limit.Current()
		t.Logf("%d slots: limit %d", n, current)
		assert.Assert(t, current >= n*8/10 && current <= n*14/10)
	}
}

func TestKeepsLimitOfSlowTarget(t *testing.T) {
	target := newTarget(options, slots(40, 1))
	target.run(20 * time.Second)
	target.serve = slots(40, 5)
	target.run(5 * time.Second)
	least := target.limit.Current()
	for range 20 {
		target.run(time.Second)
		least = min(least, target.limit.Current())
	}
	t.Logf("least limit while slow: %d", least)
	assert.Assert(t, least >= 20)
	assert.Equal(t, target.lost, 0)
}

func TestCutsLimitOfSmallerTarget(t *testing.T) {
	target := newTarget(options, slots(100, 1))
	target.run(20 * time.Second)
	target.serve = slots(10, 1)
	target.run(5 * time.Second)
	assert.Assert(t, target.lost >= 1)
	assert.Assert(t, target.limit.Current() <= 20, "limit %d", target.limit.Current())
}

func TestLivesWithUsualFailures(t *testing.T) {
	target := newTarget(options, failing(0.3))
	target.run(30 * time.Second)
	assert.Assert(t, target.limit.Current() >= 32, "limit %d", target.limit.Current())
}

func TestFallsToFloorWhenMostFail(t *testing.T) {
	target := newTarget(options, failing(0))
	target.run(5 * time.Second)
	target.serve = failing(0.9)
	target.run(3 * time.Second)
	assert.Assert(t, target.lost >= 1)
	assert.Assert(t, target.limit.Current() <= 2*options.Floor, "limit %d", target.limit.Current())
}

func TestStaysInBounds(t *testing.T) {
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
