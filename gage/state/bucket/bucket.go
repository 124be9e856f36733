// Package bucket implements a token bucket that is given the time and reads no
// clock.
package bucket

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// Bucket is a token bucket. In any interval of t seconds, Take removes at most
// Rate*t + Burst tokens. In the first t seconds after New, it removes at most Rate*t
// tokens, because New returns an empty bucket. It is not safe for concurrent use.
type Bucket struct {
	// Tokens is at least 0 and at most Burst.
	Tokens float64
	// Rate is in tokens a second, at least 0.
	Rate float64
	// Burst is the largest number of tokens in the bucket, at least 0.
	Burst float64
	// RefilledAt is the time of the last refill. It never decreases.
	RefilledAt time.Time
}

// New returns an empty bucket.
func New(now time.Time, rate, burst float64) Bucket {
	return Bucket{Rate: rate, Burst: burst, RefilledAt: now}
}

// Refill adds the tokens due since the last refill, up to Burst. It does nothing
// when now is before the last refill.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.RefilledAt)
	if elapsed <= 0 {
		return
	}
	b.RefilledAt = now
	b.Tokens = math.Min(b.Burst, b.Tokens+b.Rate*elapsed.Seconds())
}

// Take removes up to count whole tokens and returns the number removed.
func (b *Bucket) Take(now time.Time, count int) int {
	b.Refill(now)
	taken := min(count, int(b.Tokens))
	if taken <= 0 {
		return 0
	}
	b.Tokens -= float64(taken)
	b.checkInvariant()
	return taken
}

// SetLimits changes the rate and the burst from now on. It adds no tokens, and
// removes those above the new burst.
func (b *Bucket) SetLimits(now time.Time, rate, burst float64) {
	b.Refill(now)
	b.Rate = rate
	b.Burst = burst
	b.Tokens = math.Min(b.Tokens, burst)
	b.checkInvariant()
}

// Wait returns the time from now until the bucket has a whole token. It returns false
// if the bucket will never have one, or only after more than math.MaxInt32 seconds.
func (b *Bucket) Wait(now time.Time) (time.Duration, bool) {
	b.Refill(now)
	if b.Tokens >= 1 {
		return 0, true
	}
	if b.Rate <= 0 || b.Burst < 1 {
		return 0, false
	}
	seconds := (1 - b.Tokens) / b.Rate
	if seconds > math.MaxInt32 {
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

func (b *Bucket) checkInvariant() {
	invar.Check(b.Tokens >= 0 && b.Tokens <= b.Burst, "BucketWithinBurst", "Tokens", b.Tokens, "Burst", b.Burst)
}
