// Package limit finds the concurrency that a target bears from measured
// service times.
//
// Latency alone cannot tell a target that has too much work from one that has
// become slow at any load. So each rise of latency starts a trial: the limit
// is cut, and the latency of the calls that began after the cut decides. When
// it followed the cut, the target was overloaded and the cut stays. When it
// did not, the target is slow by itself: the old limit comes back and the
// latency becomes the new baseline.
package limit

import "time"

// The bounds of measurement.
const (
	windowLength    = 100 * time.Millisecond
	windowCalls     = 50
	windowMaxLength = time.Second
	windowFewCalls  = 3
	// alarmCalls close a window whose latency is alarming, relative to the
	// baseline.
	alarmCalls = 10
	alarming   = 2.0
	// lossInterval is the least time between two losses of capacity that
	// latency shows: what comes back sooner is a machine that pauses.
	lossInterval = time.Minute
	// trialInterval is how often the limit is cut while it binds until a cut
	// changes nothing, so that a baseline that is too high is found out.
	trialInterval = 8 * time.Second
	// firstTrial is the same before the first time, when the baseline may have
	// been measured under overload.
	firstTrial = time.Second
)

// The factors of control.
const (
	// tolerance is how far above the baseline latency may rise before a trial.
	tolerance = 1.3
	// roomy is the latency, relative to the baseline, up to which the limit
	// grows.
	roomy = 1.15
	// fastGrowth applies until the first trial, returnGrowth well below the
	// proven limit, and slowGrowth otherwise.
	fastGrowth   = 1.3
	returnGrowth = 2.0
	slowGrowth   = 1.05
	// baselineGain is how much of a lower latency the baseline takes on.
	baselineGain = 0.25
	// failuresTolerated is the share of failures, above the usual, at which
	// the limit is cut. At collapseFailures it is cut deeply, and falls to
	// Floor when that does not help.
	failuresTolerated = 0.1
	collapseFailures  = 0.5
	// provenShare is the share of the limit before a loss of capacity that a
	// ramp aims at, since that limit may have left room for some queueing.
	provenShare = 0.8
)

// Options bound a limit.
type Options struct {
	// Start is the first limit, between Floor and Ceiling.
	Start int
	// Floor is at least 1.
	Floor int
	// Ceiling is at least Floor.
	Ceiling int
}

// Verdict is what a measurement showed besides a new limit.
type Verdict string

// The verdicts.
const (
	VerdictNone Verdict = ""
	// VerdictCapacityLost means that the target bears far less than before.
	VerdictCapacityLost Verdict = "CapacityLost"
)

// Limit is the adaptive concurrency limit of one target.
type Limit struct {
	options Options
	// value lies between Floor and Ceiling.
	value float64
	// baseline is the latency without queueing, 0 while unknown.
	baseline time.Duration
	// usualFailures is the share of failures that no cut cures.
	usualFailures float64
	window        tally
	trial         trial
	lastTrial     time.Time
	// bottomAt is when a cut last changed nothing.
	bottomAt time.Time
	// cutFrom is the limit before the present run of cuts, 0 outside of one.
	cutFrom float64
	// alarm tells that the present run of cuts began with more than a mild
	// rise of latency.
	alarm bool
	// bore is how many calls the target worked on at once while the calls in
	// flight fell in the present run of cuts, 0 while unknown.
	bore float64
	// lostAt is when a loss of capacity was last seen, or zero.
	lostAt time.Time
	// proven is the limit before the last run of cuts.
	proven float64
	// settled tells that a trial has been made since the last Reset, and
	// bottomed that one changed nothing.
	settled  bool
	bottomed bool
}

// New returns a limit that has measured nothing.
func New(now time.Time, options Options) *Limit {
	return &Limit{
		options:   options,
		value:     float64(options.Start),
		proven:    float64(options.Start),
		window:    tally{since: now},
		lastTrial: now,
		bottomAt:  now,
	}
}

// Current returns the limit, between Floor and Ceiling.
func (l *Limit) Current() int {
	return int(l.value)
}

// Baseline returns the latency of the target without queueing, or 0.
func (l *Limit) Baseline() time.Duration {
	return l.baseline
}

// MarkSaturated tells that a call had to wait because of the limit.
func (l *Limit) MarkSaturated() {
	l.window.bound = true
}

// SetCeiling changes the cap.
func (l *Limit) SetCeiling(ceiling int) {
	l.options.Ceiling = max(ceiling, l.options.Floor)
	l.set(l.value)
}

// Observe takes in the end of a call. InFlight counts the calls still
// running.
func (l *Limit) Observe(now time.Time, latency time.Duration, failed bool, inFlight int) Verdict {
	if l.trial.running {
		l.observeTrial(now, latency, failed, inFlight)
		if !l.trial.done(now) {
			return VerdictNone
		}
		return l.judge(now)
	}
	l.window.add(latency, failed)
	if !l.windowFull(now) {
		return VerdictNone
	}
	w := l.window
	l.window = tally{since: now}
	return l.control(now, w)
}

func (l *Limit) windowFull(now time.Time) bool {
	length := now.Sub(l.window.since)
	if length >= windowMaxLength {
		return l.window.calls >= windowFewCalls
	}
	if length < windowLength {
		return false
	}
	return l.window.calls >= windowCalls || l.window.calls >= alarmCalls && (l.alarmed() || l.belowProven())
}

func (l *Limit) alarmed() bool {
	if l.window.failing() > collapseFailures {
		return true
	}
	return l.baseline > 0 && l.window.mean() > scale(l.baseline, alarming)
}

// control decides on a full window.
func (l *Limit) control(now time.Time, w tally) Verdict {
	l.usualFailures = min(l.usualFailures, w.failing())
	l.lowerBaseline(&w)
	mean := w.mean()
	switch {
	case w.failing() > collapseFailures && l.usualFailures < collapseFailures:
		l.startTrial(now, w, deepestCut)
	case w.failing() > l.usualFailures+failuresTolerated:
		l.startTrial(now, w, failureCut)
	case mean-w.deviation() > scale(l.baseline, tolerance):
		l.startTrial(now, w, float64(scale(l.baseline, roomy))/float64(mean))
	case !w.bound:
		l.endCuts()
	case l.trialDue(now):
		l.startTrial(now, w, max(routineDeep, 1-significance*w.noise()))
	case mean <= scale(l.baseline, roomy):
		l.grow()
	}
	return VerdictNone
}

// belowProven reports whether a cut that helped has left the limit well below
// what it was. It may have been a pause that passed, so the way back is fast.
func (l *Limit) belowProven() bool {
	return l.settled && l.value < l.proven*provenShare
}

// trialDue reports whether a cut is to be tried though nothing is wrong.
func (l *Limit) trialDue(now time.Time) bool {
	interval := firstTrial
	if l.bottomed {
		interval = trialInterval
	}
	return now.Sub(l.bottomAt) > interval
}

// lowerBaseline follows a latency that lies clearly below the baseline.
func (l *Limit) lowerBaseline(w *tally) {
	mean := w.mean()
	if l.baseline == 0 {
		l.baseline = mean
		return
	}
	if mean > 0 && mean+w.deviation() < l.baseline {
		l.baseline += scale(mean-l.baseline, baselineGain)
	}
}

func (l *Limit) grow() {
	l.endCuts()
	if l.belowProven() {
		l.set(min(l.value*returnGrowth, l.proven*provenShare))
		return
	}
	factor := fastGrowth
	if l.settled {
		factor = slowGrowth
	}
	l.set(max(l.value*factor, l.value+1))
}

func (l *Limit) endCuts() {
	l.cutFrom = 0
	l.alarm = false
	l.bore = 0
}

// collapse answers a target that fails most calls at any load.
func (l *Limit) collapse() Verdict {
	lost := l.value > float64(l.options.Floor)
	l.set(float64(l.options.Floor))
	if !lost {
		return VerdictNone
	}
	return VerdictCapacityLost
}

// Reset sets the limit to what the ramp of a cold target has found, or to
// a share of the last proven one when that is 0. Growth is fast again.
func (l *Limit) Reset(now time.Time, limit int) {
	if limit == 0 {
		limit = int(l.proven * provenShare)
	}
	l.set(float64(limit))
	l.settled = false
	l.bottomed = false
	l.endCuts()
	l.trial = trial{}
	l.window = tally{since: now}
	l.lastTrial = now
	l.bottomAt = now
}

// ObserveBaseline takes in the end of a call while something else holds the concurrency
// down: only the baseline follows.
func (l *Limit) ObserveBaseline(now time.Time, latency time.Duration, failed bool) {
	l.window.add(latency, failed)
	if !l.windowFull(now) {
		return
	}
	l.lowerBaseline(&l.window)
	l.window = tally{since: now}
}

func (l *Limit) set(value float64) {
	l.value = min(max(value, float64(l.options.Floor)), float64(l.options.Ceiling))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
