package route

import (
	"sync/atomic"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// reportDecayTime is the time in which the weight of a load report falls
	// linearly to 0.
	reportDecayTime = 2 * time.Second
	// shedReportTTL is how long after a load report its ShedRank is used.
	shedReportTTL = time.Second
	// ejectAfterFailures is the number of consecutive failures after which a
	// target is excluded for ejectionTime.
	ejectAfterFailures = 5
	ejectionTime       = 2 * time.Second
)

// target is one target and this node's recent observations of it.
type target struct {
	vm          string
	name        string
	service     string
	peerAddress string
	incarnation uint64
	// inFlight is the number of this node's attempts in progress, at least 0.
	inFlight atomic.Int64
	// failures is the number of consecutive failed attempts.
	failures atomic.Int64
	// ejectedUntil is in Unix nanoseconds.
	ejectedUntil atomic.Int64
	// lastReport is the newest load report, or nil.
	lastReport atomic.Pointer[loadReport]
}

// loadReport is the load that a target reported with an answer. It is
// immutable.
type loadReport struct {
	// receivedAt is in Unix nanoseconds.
	receivedAt int64
	load       gage.Load
	// ownInFlight is the number of this node's attempts that were still in
	// progress at the target when the report was received.
	ownInFlight int64
}

func (t *target) observe(now int64, result gage.Result) {
	ownInFlight := t.endAttempt()
	if result.Load.Limit > 0 {
		t.lastReport.Store(&loadReport{receivedAt: now, load: result.Load, ownInFlight: ownInFlight})
	}
	switch {
	case isTargetFailure(result):
		t.failures.Add(1)
	case result.Outcome == gage.OutcomeRan:
		t.failures.Store(0)
	}
}

// endAttempt decrements inFlight and returns the new value. At 0 it changes
// nothing: an attempt that began before the target restarted was counted in
// the target of the earlier incarnation.
func (t *target) endAttempt() int64 {
	for {
		inFlight := t.inFlight.Load()
		if inFlight == 0 {
			return 0
		}
		if t.inFlight.CompareAndSwap(inFlight, inFlight-1) {
			return inFlight - 1
		}
	}
}

// isTargetFailure reports whether an attempt failed because of the target, its
// node or the connection to that node. Refusals, such as for overload, are no
// failures.
func isTargetFailure(result gage.Result) bool {
	switch result.Reason {
	case gage.ReasonPeerFailed, gage.ReasonTargetFailed, gage.ReasonNoTarget, gage.ReasonStopping:
		return result.Outcome != gage.OutcomeRan
	default:
		return false
	}
}

// score returns the estimated load of the target as a fraction of its
// concurrency limit. The estimate is the reported load, whose weight decays
// with its age, plus the change in this node's own attempts since the report.
// It is never below this node's own attempts in progress. A target that has
// not reported a load is assumed to have coldConcurrency as its limit.
func (t *target) score(now, coldConcurrency int64) float64 {
	ownInFlight := float64(t.inFlight.Load())
	report := t.lastReport.Load()
	if report == nil {
		return ownInFlight / float64(coldConcurrency)
	}
	weight := 1 - float64(now-report.receivedAt)/float64(reportDecayTime)
	weight = min(max(weight, 0), 1)
	expected := weight*float64(report.load.InFlight+report.load.Queued) + ownInFlight - float64(report.ownInFlight)
	return max(ownInFlight, expected) / float64(report.load.Limit)
}

// full reports whether the estimated load has reached the concurrency limit.
func (t *target) full(now, coldConcurrency int64) bool {
	return t.score(now, coldConcurrency) >= 1
}

// sheds reports whether, by a report not older than shedReportTTL, the target
// would refuse a call of the given importance rank.
func (t *target) sheds(now int64, rank int) bool {
	report := t.lastReport.Load()
	if report == nil || now-report.receivedAt > int64(shedReportTTL) {
		return false
	}
	return rank >= report.load.ShedRank
}

func (t *target) ejected(now int64) bool {
	return t.ejectedUntil.Load() > now
}
