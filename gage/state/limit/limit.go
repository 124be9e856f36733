// Package limit adapts the concurrency limit of a target to measured service
// times.
//
// Latency alone does not distinguish a target that is overloaded from one that
// has become slow at any load. Therefore a rise of latency starts a trial: the
// limit is cut, and the latency of the calls that follow decides. If the
// latency wasAboveFloor with the limit, the target was overloaded and the limit stays
// cut. If it did not, the target is slow by itself: the previous limit is
// restored and the latency becomes the new baseline.
package limit

import "time"

// The bounds of a measurement window. A window ends after windowMinLength once
// it holds windowCalls calls, or after windowMaxLength once it holds
// windowMinCalls.
const (
	windowMinLength = 100 * time.Millisecond
	windowCalls     = 50
	windowMaxLength = time.Second
	windowMinCalls  = 3
	// alarmWindowCalls replaces windowCalls in each of three cases: more than
	// collapseFailureShare of the calls in the window failed, its latency is above
	// alarmLatencyFactor times the baseline, or the limit is well below provenLimit.
	alarmWindowCalls   = 10
	alarmLatencyFactor = 2.0
	// capacityLossInterval is the minimum time between two losses of capacity
	// inferred from latency. A further rise of latency within this time is
	// attributed to a pause of the machine.
	capacityLossInterval = time.Minute
	// If calls wait because of the limit, a routine trial starts
	// routineTrialInterval after the last ineffective cut. It cuts the limit
	// although latency and failures are normal, and so detects a baseline that is
	// too high.
	routineTrialInterval = 8 * time.Second
	// firstTrialInterval replaces routineTrialInterval until the first ineffective
	// cut. The interval is shorter because the baseline may have been measured under
	// overload.
	firstTrialInterval = time.Second
)

// The factors by which the limit is adapted.
const (
	// latencyTolerance is the latency, relative to the baseline, above which a
	// trial starts.
	latencyTolerance = 1.3
	// nearBaselineFactor is the latency, relative to the baseline, up to which the
	// target counts as not overloaded and the limit grows.
	nearBaselineFactor = 1.15
	// The limit grows by the factor initialGrowth until the first trial. After that
	// it grows by recoveryGrowth while it is well below provenLimit, and by
	// steadyGrowth otherwise.
	initialGrowth  = 1.3
	recoveryGrowth = 2.0
	steadyGrowth   = 1.05
	// baselineGain is the weight of a lower latency in the moving average that is
	// the baseline.
	baselineGain = 0.25
	// toleratedFailureShare is by how much the share of failed calls may exceed
	// baselineFailureShare before the limit is cut.
	toleratedFailureShare = 0.1
	// If the share of failed calls is above collapseFailureShare, the limit is cut
	// as deeply as allowed. If that does not help, the limit is set to Floor.
	collapseFailureShare = 0.5
	// provenLimitShare is the share of provenLimit up to which the limit grows by
	// recoveryGrowth. Reset may also set the limit to this share. It is below 1
	// because calls may have queued in the target at provenLimit.
	provenLimitShare = 0.8
)

// Options are the initial value and the bounds of a limit.
type Options struct {
	// Start is the initial limit, between Floor and Ceiling.
	Start int
	// Floor is the lowest limit, at least 1.
	Floor int
	// Ceiling is the highest limit, at least Floor.
	Ceiling int
}

// Verdict is what a measurement showed besides a new limit.
type Verdict string

// The verdicts.
const (
	VerdictNone Verdict = ""
	// VerdictCapacityLost means that the target sustains far less concurrency
	// than before.
	VerdictCapacityLost Verdict = "CapacityLost"
)

// Limit is the adaptive concurrency limit of one target.
type Limit struct {
	options Options
	// value is the limit, between Floor and Ceiling; its integer part applies.
	value float64
	// baseline is the latency without queueing, 0 while unknown.
	baseline time.Duration
	// baselineFailureShare is the share of calls that fail at any limit.
	baselineFailureShare float64
	window               callStats
	trial                trial
	// lastTrial is when a trial last began or ended.
	lastTrial time.Time
	// ineffectiveCutAt is when a cut last had no effect. Until there is such a cut,
	// it is when the limit was created or reset.
	ineffectiveCutAt time.Time
	// limitBeforeCuts is the limit before the present run of consecutive cuts, or 0
	// if there is no such run.
	limitBeforeCuts float64
	// alarmed is true if the share of failed calls was above toleratedFailureShare
	// during the present run of cuts, or the latency was above alarmLatencyFactor
	// times the baseline.
	alarmed bool
	// drainConcurrency is the lowest concurrency of the target measured in the
	// present run of cuts. It is measured while the calls in flight fall to a cut
	// limit. 0 means unknown.
	drainConcurrency float64
	// capacityLostAt is when a loss of capacity was last inferred from latency
	// or failures, or zero.
	capacityLostAt time.Time
	// provenLimit is the limit before the last run of cuts that helped or that
	// ended at Floor. Until there is such a run, it is Start.
	provenLimit float64
	// hadTrial is true if a trial has begun since the last Reset.
	// hadIneffectiveCut is true if the cut of such a trial had no effect.
	hadTrial          bool
	hadIneffectiveCut bool
}

// New returns a limit without any measurements, at options.Start.
func New(now time.Time, options Options) *Limit {
	return &Limit{
		options:          options,
		value:            float64(options.Start),
		provenLimit:      float64(options.Start),
		window:           callStats{startAt: now},
		lastTrial:        now,
		ineffectiveCutAt: now,
	}
}

// Current returns the limit, between Floor and Ceiling.
func (l *Limit) Current() int {
	return int(l.value)
}

// Baseline returns the latency of the target without queueing, 0 while unknown.
func (l *Limit) Baseline() time.Duration {
	return l.baseline
}

// MarkSaturated records that a call had to wait because of the limit.
func (l *Limit) MarkSaturated() {
	l.window.saturated = true
}

// SetCeiling changes the upper bound of the limit. A ceiling below Floor counts as
// Floor.
func (l *Limit) SetCeiling(ceiling int) {
	l.options.Ceiling = max(ceiling, l.options.Floor)
	l.setClamped(l.value)
}

// Observe records the end of a call and adapts the limit. InFlight is the
// number of calls that still run.
func (l *Limit) Observe(now time.Time, latency time.Duration, failed bool, inFlight int) Verdict {
	if l.trial.running {
		l.observeTrial(now, latency, failed, inFlight)
		if !l.trial.complete(now) {
			return VerdictNone
		}
		return l.conclude(now)
	}
	l.window.add(latency, failed)
	if !l.windowComplete(now) {
		return VerdictNone
	}
	window := l.window
	l.window = callStats{startAt: now}
	return l.evaluate(now, window)
}

func (l *Limit) windowComplete(now time.Time) bool {
	elapsed := now.Sub(l.window.startAt)
	if elapsed >= windowMaxLength {
		return l.window.calls >= windowMinCalls
	}
	if elapsed < windowMinLength {
		return false
	}
	return l.window.calls >= windowCalls || l.window.calls >= alarmWindowCalls && (l.windowIsAlarming() || l.belowProven())
}

func (l *Limit) windowIsAlarming() bool {
	if l.window.failureShare() > collapseFailureShare {
		return true
	}
	return l.baseline > 0 && l.window.mean() > scale(l.baseline, alarmLatencyFactor)
}

// evaluate adapts the limit to a complete window.
func (l *Limit) evaluate(now time.Time, window callStats) Verdict {
	l.baselineFailureShare = min(l.baselineFailureShare, window.failureShare())
	l.lowerBaseline(&window)
	mean := window.mean()
	switch {
	case window.failureShare() > collapseFailureShare && l.baselineFailureShare < collapseFailureShare:
		l.startTrial(now, window, deepestCutRatio)
	case window.failureShare() > l.baselineFailureShare+toleratedFailureShare:
		l.startTrial(now, window, failureCutRatio)
	case mean-window.standardError() > scale(l.baseline, latencyTolerance):
		l.startTrial(now, window, float64(scale(l.baseline, nearBaselineFactor))/float64(mean))
	case !window.saturated:
		l.endCutRun()
	case l.routineTrialDue(now):
		l.startTrial(now, window, max(deepestRoutineRatio, 1-minStandardErrors*window.relativeError()))
	case mean <= scale(l.baseline, nearBaselineFactor):
		l.grow()
	}
	return VerdictNone
}

// belowProven reports whether effective cuts have left the limit well below
// provenLimit. The limit then grows fast, because the reason for the cuts may have
// been a pause of the target that is over.
func (l *Limit) belowProven() bool {
	return l.hadTrial && l.value < l.provenLimit*provenLimitShare
}

// routineTrialDue reports whether it is time for a routine trial, which cuts the
// limit although latency and failures are normal.
func (l *Limit) routineTrialDue(now time.Time) bool {
	interval := firstTrialInterval
	if l.hadIneffectiveCut {
		interval = routineTrialInterval
	}
	return now.Sub(l.ineffectiveCutAt) > interval
}

// lowerBaseline moves the baseline towards the latency of the window if that is
// clearly lower. The first measured latency becomes the baseline.
func (l *Limit) lowerBaseline(window *callStats) {
	mean := window.mean()
	if l.baseline == 0 {
		l.baseline = mean
		return
	}
	if mean > 0 && mean+window.standardError() < l.baseline {
		l.baseline += scale(mean-l.baseline, baselineGain)
	}
}

func (l *Limit) grow() {
	l.endCutRun()
	if l.belowProven() {
		l.setClamped(min(l.value*recoveryGrowth, l.provenLimit*provenLimitShare))
		return
	}
	factor := initialGrowth
	if l.hadTrial {
		factor = steadyGrowth
	}
	l.setClamped(max(l.value*factor, l.value+1))
}

func (l *Limit) endCutRun() {
	l.limitBeforeCuts = 0
	l.alarmed = false
	l.drainConcurrency = 0
}

// dropToFloor sets the limit to Floor because the target fails most calls at any
// load. It returns VerdictCapacityLost if the limit was above Floor.
func (l *Limit) dropToFloor() Verdict {
	wasAboveFloor := l.value > float64(l.options.Floor)
	l.setClamped(float64(l.options.Floor))
	if !wasAboveFloor {
		return VerdictNone
	}
	return VerdictCapacityLost
}

// Reset sets the limit of a target that has turned cold. A limit of 0 stands for
// provenLimitShare times provenLimit. Until the next trial the limit grows by the
// factor initialGrowth.
func (l *Limit) Reset(now time.Time, limit int) {
	if limit == 0 {
		limit = int(l.provenLimit * provenLimitShare)
	}
	l.setClamped(float64(limit))
	l.hadTrial = false
	l.hadIneffectiveCut = false
	l.endCutRun()
	l.trial = trial{}
	l.window = callStats{startAt: now}
	l.lastTrial = now
	l.ineffectiveCutAt = now
}

// ObserveBaseline records the end of a call and adapts only the baseline, not the
// limit. It is for periods in which another limit bounds the concurrency.
func (l *Limit) ObserveBaseline(now time.Time, latency time.Duration, failed bool) {
	l.window.add(latency, failed)
	if !l.windowComplete(now) {
		return
	}
	l.lowerBaseline(&l.window)
	l.window = callStats{startAt: now}
}

func (l *Limit) setClamped(value float64) {
	l.value = min(max(value, float64(l.options.Floor)), float64(l.options.Ceiling))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
