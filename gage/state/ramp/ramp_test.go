package ramp_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/ramp"
)

var start = time.Unix(1_800_000_000, 0)

func newRamp() *ramp.Ramp {
	return ramp.New(start, ramp.Options{ColdStart: 10 * time.Second, InitialConcurrency: 4})
}

func TestRampGrowsToLimit(t *testing.T) {
	r := newRamp()
	previous := 0
	for elapsed := time.Duration(0); elapsed <= 15*time.Second; elapsed += 100 * time.Millisecond {
		r.Advance(start.Add(elapsed))
		allowed := r.Cap(100)
		assert.Assert(t, allowed >= previous, "%d after %v", allowed, elapsed)
		assert.Assert(t, allowed == 4 || elapsed > 10*time.Second, "%d after %v", allowed, elapsed)
		previous = allowed
	}
	assert.Equal(t, previous, 100)
	assert.Assert(t, !r.Cold())
}

func TestRampHoldsInitialConcurrency(t *testing.T) {
	r := newRamp()
	r.Advance(start.Add(10 * time.Second))
	assert.Equal(t, r.Cap(100), 4)
	r.Advance(start.Add(12500 * time.Millisecond))
	assert.Equal(t, r.Cap(100), 19)
}

func TestTargetWithoutColdStartIsWarm(t *testing.T) {
	r := ramp.New(start, ramp.Options{InitialConcurrency: 4})
	assert.Assert(t, !r.Cold())
	assert.Equal(t, r.Cap(100), 100)
}

func TestRampNeverExceedsLimit(t *testing.T) {
	assert.Equal(t, newRamp().Cap(3), 3)
}

func TestRampRestartsWhenDegraded(t *testing.T) {
	cases := []struct {
		name     string
		latency  time.Duration
		failed   bool
		restarts bool
	}{
		{"steady", 50 * time.Millisecond, false, false},
		{"latency rises", 150 * time.Millisecond, false, true},
		{"calls fail", 50 * time.Millisecond, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRamp()
			now := start.Add(14 * time.Second)
			r.Advance(now)
			observeWindow(r, now, 50*time.Millisecond, false)
			before := r.Cap(100)
			now = now.Add(200 * time.Millisecond)
			assert.Assert(t, !observeWindow(r, now, c.latency, c.failed), "one degraded window may be a pause and must not restart the ramp")
			now = now.Add(200 * time.Millisecond)
			assert.Equal(t, observeWindow(r, now, c.latency, c.failed), c.restarts)
			assert.Equal(t, r.Cap(100) < before, c.restarts)
			assert.Equal(t, r.Remaining() > 10*time.Second, c.restarts)
		})
	}
}

// observeWindow ends just enough calls to complete a window, and reports
// whether the ramp restarted.
func observeWindow(r *ramp.Ramp, now time.Time, latency time.Duration, failed bool) bool {
	restarted := false
	for range 20 {
		restarted = r.Observe(now, latency, failed) || restarted
	}
	return restarted
}

func TestRampEndsAfterTwoRestarts(t *testing.T) {
	r := newRamp()
	restarts := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Minute && r.Cold(); elapsed += 200 * time.Millisecond {
		now := start.Add(elapsed)
		r.Advance(now)
		if observeWindow(r, now, 50*time.Millisecond, true) {
			restarts++
		}
	}
	assert.Equal(t, restarts, 2)
	assert.Assert(t, !r.Cold())
}

func TestRampIgnoresCallsBegunBeforeIt(t *testing.T) {
	r := newRamp()
	assert.Assert(t, !observeWindow(r, start.Add(200*time.Millisecond), time.Second, true))
}

func TestColdStartConfiguredAfterTargetStarted(t *testing.T) {
	r := ramp.New(start, ramp.Options{InitialConcurrency: 4})
	r.Advance(start.Add(2 * time.Second))
	r.Configure(start.Add(2*time.Second), ramp.Options{ColdStart: 10 * time.Second, InitialConcurrency: 4})
	assert.Assert(t, r.Cold())
	assert.Equal(t, r.Remaining(), 13*time.Second)

	r = ramp.New(start, ramp.Options{InitialConcurrency: 4})
	r.Configure(start.Add(time.Minute), ramp.Options{ColdStart: 10 * time.Second, InitialConcurrency: 4})
	assert.Assert(t, !r.Cold())
}
