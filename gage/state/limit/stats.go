package limit

import (
	"math"
	"time"
)

// callStats sums up the calls that ended in a period.
type callStats struct {
	// startAt is when the period begins. It may lie in the future.
	startAt      time.Time
	calls        int
	failures     int
	totalLatency time.Duration
	// sumOfSquares is the sum of the squared latencies, in seconds squared.
	sumOfSquares float64
	// saturated is true if a call had to wait because of the limit.
	saturated bool
}

func (t *callStats) add(latency time.Duration, failed bool) {
	t.calls++
	if failed {
		t.failures++
		return
	}
	t.totalLatency += latency
	t.sumOfSquares += latency.Seconds() * latency.Seconds()
}

// varianceOfMean returns the variance of the mean latency, in seconds squared.
func (t *callStats) varianceOfMean() float64 {
	succeeded := float64(t.calls - t.failures)
	if succeeded < 2 {
		return 0
	}
	mean := t.mean().Seconds()
	return max(0, t.sumOfSquares/succeeded-mean*mean) / succeeded
}

// standardError returns the standard error of the mean latency.
func (t *callStats) standardError() time.Duration {
	return time.Duration(math.Sqrt(t.varianceOfMean()) * float64(time.Second))
}

// relativeError returns the standard error of the difference between the mean
// latencies of two periods with the same variance as this one. It is relative to
// the mean latency.
func (t *callStats) relativeError() float64 {
	mean := t.mean().Seconds()
	if mean == 0 {
		return 0
	}
	return math.Sqrt(2*t.varianceOfMean()) / mean
}

// mean returns the mean latency of the calls that did not fail, or 0 if all
// failed.
func (t *callStats) mean() time.Duration {
	succeeded := t.calls - t.failures
	if succeeded == 0 {
		return 0
	}
	return t.totalLatency / time.Duration(succeeded)
}

// failureShare returns the share of calls that failed.
func (t *callStats) failureShare() float64 {
	if t.calls == 0 {
		return 0
	}
	return float64(t.failures) / float64(t.calls)
}
