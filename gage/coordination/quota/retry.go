package quota

import (
	"time"
)

// The bounds of TakeReply.RetryAfter.
const (
	minRetryAfter = 2 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
)

// retryAfter returns how long a node whose request was not granted in full
// should wait before its next one. The delay grows with the number of such
// requests in a row, so that many nodes above the rate send few messages. It is
// at most half the time that an empty bucket takes to fill, since a full bucket
// loses tokens, unless the next whole token takes longer.
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
