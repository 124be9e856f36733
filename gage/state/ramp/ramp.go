// Package ramp raises the concurrency of a cold target step by step.
package ramp

import (
	"math"
	"time"
)

// The factors of a ramp.
const (
	// rise is how long the concurrency grows after an announced cold start,
	// relative to its length.
	rise = 0.5
	// suspectedHold is the share of a cold start that came without a word
	// during which the concurrency stays at its start.
	suspectedHold = 0.6
	// rising is the latency, relative to the usual of the ramp, at which the
	// target suffers.
	rising = 1.75
	// failuresTolerated is the share of failures at which the target suffers.
	failuresTolerated = 0.1
	// usualGain is how much of a latency the usual takes on in a window, and
	// drift how much of one that is rising, so that a target that has become
	// slow is not held back for ever.
	usualGain = 0.2
	drift     = 0.05
	// sufferingWindows is how many windows in a row a target must suffer, so
	// that a short pause does not count.
	sufferingWindows = 2
	// stretch is by how much the ramp becomes longer when the target suffers:
	// some targets stay cold while they are given too much. After maxRestarts
	// it goes on all the same, since the cause must be another.
	stretch     = 1.5
	maxRestarts = 2

	windowLength = 100 * time.Millisecond
	windowCalls  = 20
)

// Options describe a ramp.
type Options struct {
	// ColdStart is how long a cold target is held at From; the concurrency grows
	// after it. 0 means that targets do not start cold.
	ColdStart time.Duration
	// InitialConcurrency is the concurrency at the start, at least 1.
	InitialConcurrency int
}

// Ramp caps the concurrency of one target while it is cold.
type Ramp struct {
	options Options
	// progress lies between 0, cold, and 1, warm.
	progress float64
	// coldAt is when the ramp began; calls that began before tell nothing.
	coldAt     time.Time
	advancedAt time.Time
	// suffering counts the windows in a row in which the target suffered.
	suffering int
	// restarts is at most maxRestarts.
	restarts int
	// hold is the share of the ramp during which the concurrency stays at its
	// start, and whole is the time of the ramp relative to Length.
	hold  float64
	whole float64
	// stretched is how much longer than Length the ramp takes, at least 1.
	stretched float64
	// usual is the moving average of the latency, 0 while unknown.
	usual    time.Duration
	windowAt time.Time
	calls    int
	failures int
	total    time.Duration
}

// New returns the ramp of a target that is cold at now.
func New(now time.Time, options Options) *Ramp {
	r := &Ramp{options: options}
	r.Restart(now)
	return r
}

// Restart makes the target cold again.
func (r *Ramp) Restart(now time.Time) {
	options := r.options
	*r = Ramp{
		options: options, coldAt: now, advancedAt: now, windowAt: now, stretched: 1,
		hold: 1 / (1 + rise), whole: 1 + rise,
	}
	if options.ColdStart <= 0 {
		r.progress = 1
	}
}

// RestartSuspected makes a target cold that seems to have turned so without a word. It
// has been cold for a while when that shows, and may not be at all: the whole
// ramp takes no longer than the length.
func (r *Ramp) RestartSuspected(now time.Time) {
	r.Restart(now)
	r.hold, r.whole = suspectedHold, 1
}

// Configure changes the options. A target that was not known to start cold is
// taken to have warmed since the ramp began.
func (r *Ramp) Configure(now time.Time, options Options) {
	known := r.options.ColdStart > 0
	r.options = options
	switch {
	case options.ColdStart <= 0:
		r.progress = 1
	case !known:
		r.progress = min(1, float64(now.Sub(r.coldAt))/r.length())
		r.advancedAt = now
	}
}

// Cold reports whether the ramp still goes on.
func (r *Ramp) Cold() bool {
	return r.progress < 1
}

// Remaining returns how long the ramp still takes when nothing goes wrong.
func (r *Ramp) Remaining() time.Duration {
	return time.Duration((1 - r.progress) * r.length())
}

// length returns how long the whole ramp takes, in nanoseconds.
func (r *Ramp) length() float64 {
	return float64(r.options.ColdStart) * r.whole * r.stretched
}

// Advance moves the ramp on to now.
func (r *Ramp) Advance(now time.Time) {
	if !r.Cold() {
		return
	}
	passed := now.Sub(r.advancedAt)
	if passed <= 0 {
		return
	}
	r.advancedAt = now
	r.progress = min(1, r.progress+float64(passed)/r.length())
}

// Cap returns the concurrency allowed on the way up to limit. After the hold
// it grows geometrically, so that a target whose capacity grows linearly stays
// ahead.
func (r *Ramp) Cap(limit int) int {
	from := max(r.options.InitialConcurrency, 1)
	if !r.Cold() || limit <= from {
		return limit
	}
	if r.progress <= r.hold {
		return from
	}
	growth := float64(limit) / float64(from)
	return int(float64(from) * math.Pow(growth, (r.progress-r.hold)/(1-r.hold)))
}

// Observe takes in the end of a call and begins again, more slowly, when the
// target suffers. It reports whether it did.
func (r *Ramp) Observe(now time.Time, latency time.Duration, failed bool) bool {
	if !r.Cold() || now.Add(-latency).Before(r.coldAt) {
		return false
	}
	r.calls++
	if failed {
		r.failures++
	} else {
		r.total += latency
	}
	if r.calls < windowCalls || now.Sub(r.windowAt) < windowLength {
		return false
	}
	if r.suffers() && r.progress > r.hold {
		r.suffering++
	} else {
		r.suffering = 0
	}
	r.calls, r.failures, r.total, r.windowAt = 0, 0, 0, now
	if r.suffering < sufferingWindows || r.restarts >= maxRestarts {
		return false
	}
	r.progress, r.suffering = 0, 0
	r.stretched *= stretch
	r.restarts++
	return true
}

func (r *Ramp) suffers() bool {
	if float64(r.failures) > failuresTolerated*float64(r.calls) {
		return true
	}
	mean := r.total / time.Duration(r.calls-r.failures)
	if r.usual == 0 {
		r.usual = mean
	}
	suffers := float64(mean) > rising*float64(r.usual)
	gain := usualGain
	if suffers {
		gain = drift
	}
	r.usual += time.Duration(gain * float64(mean-r.usual))
	return suffers
}
