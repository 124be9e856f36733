package mesh

import "sync"

// retryDetector recognizes requests that a caller retries after a refusal. It
// compares the remaining time of a request with the longest one observed on its
// route: a retry has only the rest of the time of its first attempt.
type retryDetector struct {
	mu sync.Mutex
	// longestMillis is the longest remaining time by route, in milliseconds.
	longestMillis map[string]float64
}

// isRetry reports whether a request of a route with so many milliseconds left is
// probably a retry.
func (t *retryDetector) isRetry(route string, millisLeft float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longestMillis == nil {
		t.longestMillis = make(map[string]float64)
	}
	longest := t.longestMillis[route]
	if millisLeft > longest {
		t.longestMillis[route] = millisLeft
		return false
	}
	return millisLeft < firstAttemptShare*longest
}
