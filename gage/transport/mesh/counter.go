package mesh

import "sync"

// requestCounter counts the requests in flight at this node.
type requestCounter struct {
	mu       sync.Mutex
	inFlight int
	// rejecting is true once rejectAll was called.
	rejecting bool
}

// begin counts a request and reports whether it is accepted. The caller must
// call end in either case.
func (f *requestCounter) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight++
	return !f.rejecting
}

func (f *requestCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

func (f *requestCounter) rejectAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejecting = true
}

func (f *requestCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}
