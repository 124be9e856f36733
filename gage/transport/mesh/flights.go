package mesh

import "sync"

// flights counts the requests that a node has in hand.
type flights struct {
	mu sync.Mutex
	n  int
	// shut tells that no more may enter.
	shut bool
}

// enter counts a request in, and reports whether it may enter. It must leave
// in either case.
func (f *flights) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	return !f.shut
}

func (f *flights) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
}

func (f *flights) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shut = true
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
