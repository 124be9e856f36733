package retry

import (
	"sync/atomic"

	"github.com/greengagewind/greengagewind/gage"
)

// The token ratio of a node, in thousandths of a retry.
const (
	earnedMilli = 100
	retryMilli  = 1000
	burstMilli  = 10 * retryMilli
	// keptMilli is kept for the most important calls, whose retries would
	// otherwise find the tokens used up by those that an overload sheds first.
	keptMilli = 5 * retryMilli
)

// TokenBucket bounds the retries of one node to a tenth of its requests and a burst
// of 10, so that retries over the fleet stay bounded however many requests
// fail. It is safe for concurrent use.
type TokenBucket struct {
	// milli is between 0 and burstMilli.
	milli atomic.Int64
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket() *TokenBucket {
	r := &TokenBucket{}
	r.milli.Store(burstMilli)
	return r
}

// Earn is called once for each request that a caller or a target hands in.
func (r *TokenBucket) Earn() {
	for {
		old := r.milli.Load()
		if old >= burstMilli || r.milli.CompareAndSwap(old, min(old+earnedMilli, burstMilli)) {
			return
		}
	}
}

// Spend takes the tokens of one retry of a call if they are there.
func (r *TokenBucket) Spend(importance gage.Importance) bool {
	needed := int64(retryMilli)
	if importance != gage.ImportanceCritical {
		needed += keptMilli
	}
	for {
		old := r.milli.Load()
		if old < needed {
			return false
		}
		if r.milli.CompareAndSwap(old, old-retryMilli) {
			return true
		}
	}
}
