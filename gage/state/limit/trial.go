package limit

import (
	"math"
	"time"
)

// The bounds of a trial. A trial ends after trialCalls calls and
// trialMinLength, or after trialMaxLength.
const (
	trialCalls = 50
	// minDrainCalls is the number of completed calls needed to measure
	// drainConcurrency.
	minDrainCalls = 5
	// deepTrialCalls replaces trialCalls when the cut ratio is at most
	// deepCutRatio.
	deepTrialCalls = 10
	deepCutRatio   = 0.5
	trialMinLength = 20 * time.Millisecond
	trialMaxLength = 2 * time.Second
)

// The factors of a trial. A cut ratio is the cut limit relative to the limit
// before the cut.
const (
	// deepestCutRatio is the lowest cut ratio. For capacityLossInterval after a loss
	// of capacity, deepestRatioAfterLoss replaces it, since a further rise of latency
	// in this time is more likely caused by a pause of the machine.
	deepestCutRatio       = 0.1
	deepestRatioAfterLoss = 0.4
	// minSettleShare is the minimum time, relative to the latency before the
	// cut, for which a trial waits after the calls in flight have fallen to the
	// cut limit.
	minSettleShare = 0.5
	// failureCutRatio is the cut ratio of a trial that starts because of failures.
	// shallowestCutRatio is the highest cut ratio of any trial. A routine trial has a
	// cut ratio between deepestRoutineRatio and shallowestCutRatio. It is lower the
	// more the latency varies, so that the effect of the cut exceeds the variation.
	failureCutRatio     = 0.7
	shallowestCutRatio  = 0.75
	deepestRoutineRatio = 0.5
	// minStandardErrors is the number of standard errors by which latency must
	// fall for a cut to count as effective.
	minStandardErrors = 2.0
	// Unless latency returns to the baseline, a cut counts as effective only if
	// latency falls by at least minLatencyDropPerCut times the relative cut of the
	// limit. With 0.6, a cut by 20% must lower latency by at least 12%.
	minLatencyDropPerCut = 0.6
	// After an ineffective cut, ineffectiveCutGain is the weight of the new latency
	// in the baseline, unless that latency is far above the baseline.
	ineffectiveCutGain = 0.5
	// A cut because of failures counts as effective if the failure share after the
	// cut is below effectiveFailureRatio times the one before it.
	effectiveFailureRatio = 0.7
	// The target may have lost capacity if a run of cuts has left the limit below
	// capacityLostRatio times the limit before the run.
	capacityLostRatio = 0.5
)

// trial is a cut of the limit and the measurements that decide whether the limit
// stays cut.
type trial struct {
	running bool
	// isRepeat is true if the trial repeats one that began while latency was
	// still rising.
	isRepeat bool
	// limitBefore, latencyBefore, failureShareBefore and varianceBefore are the
	// values before the cut. varianceBefore is the variance of the mean latency, in
	// seconds squared.
	limitBefore        float64
	latencyBefore      time.Duration
	failureShareBefore float64
	varianceBefore     float64
	// cutRatio is the cut limit relative to limitBefore.
	cutRatio  float64
	startedAt time.Time
	// drainedCalls counts the calls that succeeded before settledAt.
	drainedCalls int
	// settling sums up the latest calls that ended before settledAt, at most
	// deepTrialCalls of them.
	settling callStats
	// settledAt is when the calls in flight had fallen to the cut limit, or
	// zero.
	settledAt time.Time
	// afterCut sums up the calls that ended after the calls queued before settledAt
	// had time to finish. It does not matter when these calls began, because
	// counting only calls that began after settledAt would favour short ones.
	afterCut callStats
}

// complete reports whether enough calls have ended to conclude the trial.
func (t *trial) complete(now time.Time) bool {
	if now.Sub(t.startedAt) >= trialMaxLength && t.afterCut.calls >= windowMinCalls {
		return true
	}
	neededCalls := trialCalls
	if t.cutRatio <= deepCutRatio {
		neededCalls = deepTrialCalls
	}
	if t.afterCut.calls < neededCalls {
		return false
	}
	return now.Sub(t.afterCut.startAt) >= max(trialMinLength, scale(t.latencyBefore, t.cutRatio))
}

func (l *Limit) startTrial(now time.Time, window callStats, cutRatio float64) {
	cutRatio = min(max(cutRatio, l.deepestRatio(now)), shallowestCutRatio)
	if now.Sub(l.lastTrial) > trialMaxLength {
		l.endCutRun()
	}
	if l.limitBeforeCuts == 0 {
		l.limitBeforeCuts = l.value
	}
	if window.failureShare() > toleratedFailureShare || window.mean() > scale(l.baseline, alarmLatencyFactor) {
		l.alarmed = true
	}
	l.trial = trial{
		running:            true,
		limitBefore:        l.value,
		latencyBefore:      window.mean(),
		failureShareBefore: window.failureShare(),
		varianceBefore:     window.varianceOfMean(),
		cutRatio:           cutRatio,
		startedAt:          now,
	}
	l.hadTrial = true
	l.lastTrial = now
	l.setClamped(l.value * cutRatio)
}

func (l *Limit) observeTrial(now time.Time, latency time.Duration, failed bool, inFlight int) {
	t := &l.trial
	if t.settledAt.IsZero() {
		l.observeSettling(now, latency, failed, inFlight)
		return
	}
	if !now.Before(t.afterCut.startAt) || now.Sub(t.startedAt) >= trialMaxLength {
		t.afterCut.add(latency, failed)
	}
}

// observeSettling records the end of a call before the calls in flight have fallen
// to the cut limit. It deepens the cut if latency rises in this time.
func (l *Limit) observeSettling(now time.Time, latency time.Duration, failed bool, inFlight int) {
	t := &l.trial
	if !failed {
		t.drainedCalls++
	}
	if inFlight <= l.Current() {
		l.measureDrainConcurrency(now)
		t.settledAt = now
		t.afterCut.startAt = now.Add(scale(t.latencyBefore, max(t.cutRatio, minSettleShare)))
		return
	}
	t.settling.add(latency, failed)
	if t.settling.calls < deepTrialCalls {
		return
	}
	mean := t.settling.mean()
	if mean > scale(t.latencyBefore, nearBaselineFactor) {
		t.latencyBefore, t.varianceBefore = mean, t.settling.varianceOfMean()
		t.cutRatio = min(t.cutRatio, max(l.deepestRatio(now), float64(scale(l.baseline, nearBaselineFactor))/float64(mean)))
		l.alarmed = l.alarmed || mean > scale(l.baseline, alarmLatencyFactor)
		l.setClamped(t.limitBefore * t.cutRatio)
	}
	t.settling = callStats{}
}

// measureDrainConcurrency estimates how many calls the target worked on at once
// while more calls than the cut limit were in flight. The estimate is the rate of
// completed calls times the baseline. A target that only paused works on as many
// calls as before. A target that has lost capacity works on fewer.
func (l *Limit) measureDrainConcurrency(now time.Time) {
	elapsed := now.Sub(l.trial.startedAt)
	if l.trial.drainedCalls < minDrainCalls || elapsed <= 0 {
		return
	}
	concurrency := float64(l.trial.drainedCalls) * float64(l.baseline) / float64(elapsed)
	if l.drainConcurrency == 0 || concurrency < l.drainConcurrency {
		l.drainConcurrency = concurrency
	}
}

// capacityLost reports whether the present run of cuts shows a loss of
// capacity.
func (l *Limit) capacityLost(now time.Time, t trial) bool {
	if !l.alarmed || l.value >= l.limitBeforeCuts*capacityLostRatio {
		return false
	}
	if t.failureShareBefore > toleratedFailureShare {
		return true
	}
	if l.lostCapacityRecently(now) {
		return false
	}
	return l.drainConcurrency > 0 && l.drainConcurrency < l.limitBeforeCuts*capacityLostRatio
}

func (l *Limit) lostCapacityRecently(now time.Time) bool {
	return !l.capacityLostAt.IsZero() && now.Sub(l.capacityLostAt) < capacityLossInterval
}

// deepestRatio returns the lowest cut ratio that is allowed at present.
func (l *Limit) deepestRatio(now time.Time) float64 {
	if l.lostCapacityRecently(now) {
		return deepestRatioAfterLoss
	}
	return deepestCutRatio
}

// conclude ends a trial and keeps, repeats or undoes its cut.
func (l *Limit) conclude(now time.Time) Verdict {
	t := l.trial
	l.trial = trial{}
	l.window = callStats{startAt: now}
	l.lastTrial = now
	if t.helped(l.baseline) {
		return l.keepCut(now, t)
	}
	if t.wasStillRising() {
		l.repeatTrial(now, t)
		return VerdictNone
	}
	if t.afterCut.failureShare() > collapseFailureShare {
		l.provenLimit = l.limitBeforeCuts
		l.endCutRun()
		return l.dropToFloor()
	}
	l.undoCut(t)
	l.ineffectiveCutAt = now
	l.hadIneffectiveCut = true
	return VerdictNone
}

// wasStillRising reports whether latency was still rising when the limit was cut.
// The latency before the cut is then no valid reference.
func (t *trial) wasStillRising() bool {
	return !t.isRepeat && t.afterCut.mean() > scale(t.latencyBefore, nearBaselineFactor)
}

// repeatTrial cuts the limit once more, with the latency after the first cut as
// the reference.
func (l *Limit) repeatTrial(now time.Time, t trial) {
	l.startTrial(now, t.afterCut, float64(scale(l.baseline, nearBaselineFactor))/float64(t.afterCut.mean()))
	l.trial.limitBefore = t.limitBefore
	l.trial.isRepeat = true
}

// helped reports whether failures or latency fell clearly after the cut.
func (t *trial) helped(baseline time.Duration) bool {
	if t.failureShareBefore > toleratedFailureShare {
		return t.afterCut.failureShare() < t.failureShareBefore*effectiveFailureRatio
	}
	mean := t.afterCut.mean()
	if mean == 0 {
		return false
	}
	if t.latencyBefore > scale(baseline, latencyTolerance) && mean <= scale(baseline, nearBaselineFactor) {
		return true
	}
	drop := (t.latencyBefore - mean).Seconds()
	if drop < minLatencyDropPerCut*(1-t.cutRatio)*t.latencyBefore.Seconds() {
		return false
	}
	return drop >= minStandardErrors*math.Sqrt(t.varianceBefore+t.afterCut.varianceOfMean())
}

// keepCut leaves the limit cut after an effective cut. If failures or latency are
// still above normal, it starts another trial with a further cut. It also does so
// if they were normal before the cut, since the baseline was then too high. The
// cuts end with the first ineffective one: calls no longer queue in the target.
func (l *Limit) keepCut(now time.Time, t trial) Verdict {
	l.lowerBaseline(&t.afterCut)
	l.provenLimit = l.limitBeforeCuts
	if l.capacityLost(now, t) {
		l.capacityLostAt = now
		l.endCutRun()
		return VerdictCapacityLost
	}
	if l.wasHealthy(t) || l.routineTrialDue(now) {
		l.baseline = min(l.baseline, t.afterCut.mean())
	} else if t.afterCut.failureShare() <= toleratedFailureShare && t.afterCut.mean() <= scale(l.baseline, nearBaselineFactor) {
		return VerdictNone
	}
	l.startTrial(now, t.afterCut, shallowestCutRatio)
	return VerdictNone
}

// wasHealthy reports whether failures and latency were normal before the cut. If
// such a cut lowers the latency, the baseline was too high.
func (l *Limit) wasHealthy(t trial) bool {
	return t.failureShareBefore <= toleratedFailureShare && t.latencyBefore <= scale(l.baseline, latencyTolerance)
}

// undoCut restores the limit after an ineffective cut. The failure share after the
// cut becomes its baseline. The latency after the cut becomes the baseline if it is
// clearly higher; otherwise the baseline moves towards it.
func (l *Limit) undoCut(t trial) {
	l.setClamped(t.limitBefore)
	l.endCutRun()
	l.baselineFailureShare = t.afterCut.failureShare()
	mean := t.afterCut.mean()
	if mean > scale(l.baseline, nearBaselineFactor) {
		l.baseline = mean
		return
	}
	l.baseline += scale(mean-l.baseline, ineffectiveCutGain)
}
