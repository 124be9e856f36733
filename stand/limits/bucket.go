package limits

// Bucket is a token bucket over Unix times in microseconds. Times must not go
// down from call to call.
type Bucket struct {
	limit  Limit
	tokens float64
	last   int64
	begun  bool
}

// NewBucket returns a full bucket.
func NewBucket(limit Limit) *Bucket {
	return &Bucket{limit: limit, tokens: limit.Burst}
}

// Take takes one token and tells whether there was one.
func (b *Bucket) Take(micros int64) bool {
	b.fill(micros)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ForceTake takes one token even when there is none, and returns the level left. A
// level below 0 means that in some interval of length t that ends now, more
// than Rate*t + Burst tokens were taken.
func (b *Bucket) ForceTake(micros int64) float64 {
	b.fill(micros)
	b.tokens--
	return b.tokens
}

func (b *Bucket) fill(micros int64) {
	if b.begun {
		elapsed := float64(micros-b.last) / 1e6
		b.tokens = min(b.limit.Burst, b.tokens+elapsed*b.limit.Rate)
	}
	b.begun = true
	b.last = micros
}
