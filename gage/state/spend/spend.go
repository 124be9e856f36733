// Package spend implements the retry budget of one node. Each service has a
// token bucket: each first attempt adds tokens and each retry takes one. Every node
// thus limits its retries to a ratio of its first attempts plus a burst. This bounds
// the retries of the whole fleet as well.
package spend

import "sync"

// Budget limits the retries that one node sends to each service, by one token
// bucket for each service. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// burst is the capacity of each service's bucket, in retries.
	burst float64
	// tokens is the fill level of each service's bucket, between 0 and burst. A
	// service without an entry has a full bucket.
	tokens map[string]float64
}

// New returns a budget with full buckets. Burst is the number of retries that
// may be sent at once to each service.
func New(burst float64) *Budget {
	return &Budget{burst: burst, tokens: make(map[string]float64)}
}

// SetBurst changes the capacity of the buckets. Tokens above it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	for service, tokens := range b.tokens {
		b.tokens[service] = min(tokens, burst)
	}
}

// Earn adds ratio tokens for a first attempt at a service.
func (b *Budget) Earn(service string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.balance(service)+ratio, b.burst)
}

// Spend takes one token for a retry at a service. It returns false, and takes
// nothing, if less than one token is left; the retry must not be sent then.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(service)
	if tokens < 1 {
		return false
	}
	b.tokens[service] = tokens - 1
	return true
}

// balance returns the tokens of a service. The caller holds mu.
func (b *Budget) balance(service string) float64 {
	if tokens, known := b.tokens[service]; known {
		return tokens
	}
	return b.burst
}
