package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time in which the weight of a counted call
	// falls to 1/e.
	demandTimeConstant = 200 * time.Millisecond
	// maxPrefetchHorizon is the longest time for whose expected calls tokens are
	// prefetched. A quarter of Limits.GrantTTL applies if it is shorter.
	maxPrefetchHorizon = 20 * time.Millisecond
)

// demand is an exponentially decaying count of calls, from which the call rate
// is estimated.
type demand struct {
	// count is the sum of the calls' weights at updatedAt.
	count     float64
	updatedAt time.Time
}

func (d *demand) recordCall(now time.Time) {
	d.decay(now)
	d.count++
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	d.count *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	d.updatedAt = now
}

// prefetchCount returns the number of tokens to request in addition to those for
// the waiting calls. It is the number of calls expected within the prefetch
// horizon at the estimated call rate. At low rates it is 0, since prefetched tokens
// would expire unused.
func (ws *workspaceState) prefetchCount(now time.Time) int {
	ws.demand.decay(now)
	rate := ws.demand.count / demandTimeConstant.Seconds()
	horizon := min(maxPrefetchHorizon, ws.limits.GrantTTL/4)
	tokens := int(rate * horizon.Seconds())
	maxTokens := int(ws.limits.Burst / float64(ws.limits.Slots) / 2)
	return max(0, min(tokens, maxTokens, MaxTokensPerRequest/2))
}
