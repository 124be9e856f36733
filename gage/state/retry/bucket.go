package retry

import (
	"sync/atomic"

	"github.com/greengagewind/greengagewind/gage"
)

// The token bucket of a node, in thousandths of a retry.
const (
	// earnedPerRequestMilli is added to the bucket for each request.
	earnedPerRequestMilli = 100
	// costPerRetryMilli is taken from the bucket for each retry.
	costPerRetryMilli = 1000
	burstMilli        = 10 * costPerRetryMilli
	// criticalReserveMilli is the part of the tokens that only critical
	// calls may use. Without it, calls of lower importance would use up the tokens,
	// because an overload sheds these calls first.
	criticalReserveMilli = 5 * costPerRetryMilli
)

// TokenBucket limits the retries of one node, for all services together, to a
// tenth of its requests plus a burst of 10, so that retries across the fleet
// stay bounded however many requests fail. It is safe for concurrent use.
type TokenBucket struct {
	// milliTokens is between 0 and burstMilli.
	milliTokens atomic.Int64
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket() *TokenBucket {
	b := &TokenBucket{}
	b.milliTokens.Store(burstMilli)
	return b
}

// Earn adds the tokens for one request. It is called once for each request that
// a caller or a target sends to the node.
func (b *TokenBucket) Earn() {
	for {
		old := b.milliTokens.Load()
		if old >= burstMilli || b.milliTokens.CompareAndSwap(old, min(old+earnedPerRequestMilli, burstMilli)) {
			return
		}
	}
}

// Spend takes the tokens for one retry of a call, if available, and reports
// whether it did.
func (b *TokenBucket) Spend(importance gage.Importance) bool {
	needed := int64(costPerRetryMilli)
	if importance != gage.ImportanceCritical {
		needed += criticalReserveMilli
	}
	for {
		old := b.milliTokens.Load()
		if old < needed {
			return false
		}
		if b.milliTokens.CompareAndSwap(old, old-costPerRetryMilli) {
			return true
		}
	}
}
