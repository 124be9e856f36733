package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// Bounds of the retry delay that refused callers are given.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// jitterSteps is the number of distinct jitter values.
	jitterSteps = 1024
)

// retryAfter returns the delay after which a refused call may be retried. It is the
// time in which the target serves the calls that precede the refused one. During a
// cold start it is at least a part of the remaining ramp. Jitter of up to the same
// length is added, so that refused callers do not retry in lockstep. It is derived
// from the request's shed order.
func (g *Gate) retryAfter(e shed.Entry) time.Duration {
	wait := g.meter.timeToServe(g.queue.LenThroughRank(e.Rank) + g.inFlight + 1)
	if g.Cold() {
		wait = max(wait, g.ramp.Remaining()/coldRetryDivisor)
	}
	wait = max(wait, minRetryAfter)
	jitter := time.Duration(e.ShedOrder%jitterSteps) * wait / jitterSteps
	return min(wait+jitter, maxRetryAfter)
}

// coldRetryDivisor divides the remaining time of a ramp. The retry delay during a
// cold start is at least the quotient.
const coldRetryDivisor = 8
