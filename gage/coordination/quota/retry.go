package quota

import (
	"time"
)

// The bounds of TakeReply.RetryAfter.
const (
	minRetryAfter = 2 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
)

// retryAfter returns how long a node whose request was not granted in full should
// wait before its next request. The delay grows with shortReplies, so that many
// nodes above the rate send few messages. It is at least the time until the next
// whole token. Otherwise it is at most half the time that an empty bucket takes to
// fill, since a full bucket loses tokens.
func (b *workspaceBucket) retryAfter(now time.Time) time.Duration {
	untilToken, ok := b.bucket.Wait(now)
	if !ok {
		return maxRetryAfter
	}
	untilServed := time.Duration(float64(b.shortReplies-1) / b.limits.rate * float64(time.Second))
	untilHalfFull := time.Duration(b.limits.burst / 2 / b.limits.rate * float64(time.Second))
	spread := min(untilServed, untilHalfFull, maxRetryAfter)
	return max(untilToken, spread, minRetryAfter)
}
