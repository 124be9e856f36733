package limits

// Bucket is a token bucket. Times are Unix times in microseconds and must not
// decrease from call to call.
type Bucket struct {
	limit  Limit
	tokens float64
	// lastMicros is the time of the last refill. It is valid only if hasRefilled
	// is true.
	lastMicros  int64
	hasRefilled bool
}

// NewBucket returns a full bucket.
func NewBucket(limit Limit) *Bucket {
	return &Bucket{limit: limit, tokens: limit.Burst}
}

// Take takes one token if there is one and reports whether it did.
func (b *Bucket) Take(micros int64) bool {
	b.refill(micros)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ForceTake takes one token even when the bucket is empty, and returns the
// remaining level. A level below 0 means that the limit was exceeded: more than
// Rate*t + Burst tokens were taken in some interval of t seconds that ends at
// micros.
func (b *Bucket) ForceTake(micros int64) float64 {
	b.refill(micros)
	b.tokens--
	return b.tokens
}

func (b *Bucket) refill(micros int64) {
	if b.hasRefilled {
		elapsedSeconds := float64(micros-b.lastMicros) / 1e6
		b.tokens = min(b.limit.Burst, b.tokens+elapsedSeconds*b.limit.Rate)
	}
	b.hasRefilled = true
	b.lastMicros = micros
}
