package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The bounds of the advice to refused callers.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// spreadSteps divides the spread of the advice.
	spreadSteps = 1024
)

// retryAfter returns when a refused call may be tried again: once the target
// has answered the calls that go before it and, in a cold start, has grown. It
// is spread by the request's order, so that refused callers do not come back
// together.
func (g *Gate) retryAfter(e shed.Entry) time.Duration {
	wait := g.meter.timeFor(g.queue.LenThroughRank(e.Rank) + g.inFlight + 1)
	if g.Cold() {
		wait = max(wait, g.ramp.Remaining()/coldRetryShare)
	}
	wait = max(wait, minRetryAfter)
	spread := time.Duration(e.ShedOrder%spreadSteps) * wait / spreadSteps
	return min(wait+spread, maxRetryAfter)
}

// coldRetryShare is the share of the rest of a ramp that callers wait.
const coldRetryShare = 8
