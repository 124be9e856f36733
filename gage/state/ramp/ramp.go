// Package ramp raises the concurrency of a target gradually after a cold start.
package ramp

import (
	"math"
	"time"
)

// The factors of a ramp.
const (
	// growthShare is how long the concurrency grows after an announced cold
	// start, relative to the length of the cold start.
	growthShare = 0.5
	// suspectedHoldShare is the share of the ramp after a suspected cold start
	// during which the concurrency stays at its initial value.
	suspectedHoldShare = 0.6
	// degradedLatencyFactor is the latency, relative to the moving average,
	// above which the target counts as degraded.
	degradedLatencyFactor = 1.75
	// toleratedFailureShare is the share of failed calls above which the target
	// counts as degraded.
	toleratedFailureShare = 0.1
	// baselineGain is the weight of a window in the moving average of the
	// latency. degradedBaselineGain is the weight of a window with degraded latency.
	// It is above 0, so that a target that has become permanently slow does not
	// count as degraded for ever.
	baselineGain         = 0.2
	degradedBaselineGain = 0.05
	// degradedWindowsToRestart is the number of consecutive windows in which a target
	// must be degraded for its ramp to restart. It is above 1, so that a short pause
	// of the target does not restart the ramp.
	degradedWindowsToRestart = 2
	// restartStretch is the factor by which each restart lengthens the ramp of a
	// degraded target. A longer ramp helps targets that stay cold while they receive
	// too many calls. After maxRestarts the ramp continues even if the target is
	// degraded, because the degradation must then have another cause.
	restartStretch = 1.5
	maxRestarts    = 2

	// A measurement window ends once both windowMinLength and windowMinCalls
	// have been reached.
	windowMinLength = 100 * time.Millisecond
	windowMinCalls  = 20
)

// Options describe a ramp.
type Options struct {
	// ColdStart is the length of the cold start, during which the concurrency
	// stays at InitialConcurrency; it grows afterwards. 0 means that targets do
	// not start cold.
	ColdStart time.Duration
	// InitialConcurrency is the concurrency at the start of the ramp, at least
	// 1.
	InitialConcurrency int
}

// Ramp caps the concurrency of one target while it is cold.
type Ramp struct {
	options Options
	// progress is 0 at the start of the ramp and 1 once the target is warm.
	progress float64
	// coldSince is when the ramp began. Calls that began earlier are ignored.
	coldSince  time.Time
	advancedAt time.Time
	// degradedWindows counts the latest consecutive windows in which the target
	// was degraded.
	degradedWindows int
	// restarts counts how often the ramp has restarted because the target was
	// degraded, at most maxRestarts.
	restarts int
	// holdShare is the share of the ramp during which the concurrency stays at its
	// initial value.
	holdShare float64
	// lengthFactor is the length of the ramp before any restart, relative to
	// ColdStart.
	lengthFactor float64
	// stretchFactor is the factor by which restarts have lengthened the ramp,
	// at least 1.
	stretchFactor float64
	// baselineLatency is the moving average of the latency, 0 while unknown.
	baselineLatency time.Duration
	// The fields below belong to the open measurement window.
	windowStart  time.Time
	calls        int
	failures     int
	totalLatency time.Duration
}

// New returns the ramp of a target that is cold at now.
func New(now time.Time, options Options) *Ramp {
	r := &Ramp{options: options}
	r.Restart(now)
	return r
}

// Restart begins the ramp of a target that is known to be cold.
func (r *Ramp) Restart(now time.Time) {
	options := r.options
	*r = Ramp{
		options: options, coldSince: now, advancedAt: now, windowStart: now, stretchFactor: 1,
		holdShare: 1 / (1 + growthShare), lengthFactor: 1 + growthShare,
	}
	if options.ColdStart <= 0 {
		r.progress = 1
	}
}

// RestartSuspected begins the ramp of a target that seems to have turned cold
// without announcing it. The ramp only takes ColdStart, for two reasons: if the
// target is cold, it has been so for a while before this is detected, and it may
// not be cold at all.
func (r *Ramp) RestartSuspected(now time.Time) {
	r.Restart(now)
	r.holdShare, r.lengthFactor = suspectedHoldShare, 1
}

// Configure changes the options. A target for which no cold start was
// configured so far counts as having warmed up since the ramp began.
func (r *Ramp) Configure(now time.Time, options Options) {
	hadColdStart := r.options.ColdStart > 0
	r.options = options
	switch {
	case options.ColdStart <= 0:
		r.progress = 1
	case !hadColdStart:
		r.progress = min(1, float64(now.Sub(r.coldSince))/r.totalNanoseconds())
		r.advancedAt = now
	}
}

// Cold reports whether the ramp has not ended yet.
func (r *Ramp) Cold() bool {
	return r.progress < 1
}

// Remaining returns the time until the ramp ends if it does not restart.
func (r *Ramp) Remaining() time.Duration {
	return time.Duration((1 - r.progress) * r.totalNanoseconds())
}

// totalNanoseconds returns how long the whole ramp takes.
func (r *Ramp) totalNanoseconds() float64 {
	return float64(r.options.ColdStart) * r.lengthFactor * r.stretchFactor
}

// Advance updates the progress of the ramp to now. A time before that of the last
// call has no effect.
func (r *Ramp) Advance(now time.Time) {
	if !r.Cold() {
		return
	}
	elapsed := now.Sub(r.advancedAt)
	if elapsed <= 0 {
		return
	}
	r.advancedAt = now
	r.progress = min(1, r.progress+float64(elapsed)/r.totalNanoseconds())
}

// Cap returns the concurrency that the ramp allows at present, at most limit.
// After the hold period the concurrency grows geometrically, so that it stays
// below the capacity of a target whose capacity grows linearly.
func (r *Ramp) Cap(limit int) int {
	initial := max(r.options.InitialConcurrency, 1)
	if !r.Cold() || limit <= initial {
		return limit
	}
	if r.progress <= r.holdShare {
		return initial
	}
	growth := float64(limit) / float64(initial)
	return int(float64(initial) * math.Pow(growth, (r.progress-r.holdShare)/(1-r.holdShare)))
}

// Observe records the end of a call. If the target was degraded in several
// consecutive windows, it restarts the ramp, which then takes longer, and
// returns true.
func (r *Ramp) Observe(now time.Time, latency time.Duration, failed bool) bool {
	if !r.Cold() || now.Add(-latency).Before(r.coldSince) {
		return false
	}
	r.calls++
	if failed {
		r.failures++
	} else {
		r.totalLatency += latency
	}
	if r.calls < windowMinCalls || now.Sub(r.windowStart) < windowMinLength {
		return false
	}
	if r.degraded() && r.progress > r.holdShare {
		r.degradedWindows++
	} else {
		r.degradedWindows = 0
	}
	r.calls, r.failures, r.totalLatency, r.windowStart = 0, 0, 0, now
	if r.degradedWindows < degradedWindowsToRestart || r.restarts >= maxRestarts {
		return false
	}
	r.progress, r.degradedWindows = 0, 0
	r.stretchFactor *= restartStretch
	r.restarts++
	return true
}

// degraded reports whether the target was degraded in the open window. It also
// updates baselineLatency with the window.
func (r *Ramp) degraded() bool {
	if float64(r.failures) > toleratedFailureShare*float64(r.calls) {
		return true
	}
	mean := r.totalLatency / time.Duration(r.calls-r.failures)
	if r.baselineLatency == 0 {
		r.baselineLatency = mean
	}
	isDegraded := float64(mean) > degradedLatencyFactor*float64(r.baselineLatency)
	weight := baselineGain
	if isDegraded {
		weight = degradedBaselineGain
	}
	r.baselineLatency += time.Duration(weight * float64(mean-r.baselineLatency))
	return isDegraded
}
