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
	last := 0
	for passed := time.Duration(0); passed <= 15*time.Second; passed += 100 * time.Millisecond {
		r.Advance(start.Add(passed))
		allowed := r.Cap(100)
		assert.Assert(t, allowed >= last, "%d after %v", allowed, passed)
		assert.Assert(t, allowed == 4 || passed > 10*time.Second, "%d after %v", allowed, passed)
		last = allowed
	}
	assert.Equal(t, last, 100)
	assert.Assert(t, !r.Cold())
}

func TestRampHoldsAtFirst(t *testing.T) {
	r := newRamp()
	r.Advance(start.Add(10 * time.Second))
	assert.Equal(t, r.Cap(100), 4)
	r.Advance(start.Add(12500 * time.Millisecond))
	assert.Equal(t, r.Cap(100), 19)
}

func TestRampOfTargetsThatStartWarm(t *testing.T) {
	r := ramp.New(start, ramp.Options{InitialConcurrency: 4})
	assert.Assert(t, !r.Cold())
	assert.Equal(t, r.Cap(100), 100)
}

func TestRampNeverRaisesLimit(t *testing.T) {
	assert.Equal(t, newRamp().Cap(3), 3)
}

func TestRampStepsBack(t *testing.T) {
	cases := []struct {
		name    string
		latency time.Duration
		failed  bool
		back    bool
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
			observe(r, now, 50*time.Millisecond, false)
			before := r.Cap(100)
			now = now.Add(200 * time.Millisecond)
			assert.Assert(t, !observe(r, now, c.latency, c.failed), "one window may be a pause")
			now = now.Add(200 * time.Millisecond)
			assert.Equal(t, observe(r, now, c.latency, c.failed), c.back)
			assert.Equal(t, r.Cap(100) < before, c.back)
			assert.Equal(t, r.Remaining() > 10*time.Second, c.back)
		})
	}
}

// observe ends just enough calls to fill a window.
func observe(r *ramp.Ramp, now time.Time, latency time.Duration, failed bool) bool {
	back := false
	for range 20 {
		back = r.Observe(now, latency, failed) || back
	}
	return back
}

func TestRampGoesOnAfterTwoRestarts(t *testing.T) {
	r := newRamp()
	restarts := 0
	for passed := time.Duration(0); passed < 2*time.Minute && r.Cold(); passed += 200 * time.Millisecond {
		now := start.Add(passed)
		r.Advance(now)
		if observe(r, now, 50*time.Millisecond, true) {
			restarts++
		}
	}
	assert.Equal(t, restarts, 2)
	assert.Assert(t, !r.Cold())
}

func TestRampIgnoresCallsFromBefore(t *testing.T) {
	r := newRamp()
	assert.Assert(t, !observe(r, start.Add(200*time.Millisecond), time.Second, true))
}

func TestRampConfiguredLate(t *testing.T) {
	r := ramp.New(start, ramp.Options{InitialConcurrency: 4})
	r.Advance(start.Add(2 * time.Second))
	r.Configure(start.Add(2*time.Second), ramp.Options{ColdStart: 10 * time.Second, InitialConcurrency: 4})
	assert.Assert(t, r.Cold())
	assert.Equal(t, r.Remaining(), 13*time.Second)

	r = ramp.New(start, ramp.Options{InitialConcurrency: 4})
	r.Configure(start.Add(time.Minute), ramp.Options{ColdStart: 10 * time.Second, InitialConcurrency: 4})
	assert.Assert(t, !r.Cold())
}
