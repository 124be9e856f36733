package mesh

import (
	"sync"
	"time"
)

// callTracker records the calls that the target on this VM makes to other
// services.
type callTracker struct {
	mu sync.Mutex
	// overloadedAt is, for each service, when a call last failed because the
	// service was overloaded.
	overloadedAt map[string]time.Time
	// lastCallAt is when the target last made a call.
	lastCallAt time.Time
}

// makesCallsWindow is how long a target counts as one that makes calls after its
// last call.
const makesCallsWindow = time.Minute

// recordCall records that the target made a call.
func (s *callTracker) recordCall(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCallAt = now
}

// makesCalls reports whether the target made a call within makesCallsWindow.
func (s *callTracker) makesCalls(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastCallAt.IsZero() && now.Sub(s.lastCallAt) < makesCallsWindow
}

// recordOverload records a call that failed because service was overloaded.
func (s *callTracker) recordOverload(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overloadedAt == nil {
		s.overloadedAt = make(map[string]time.Time)
	}
	s.overloadedAt[service] = now
}

// overloadedSince returns the service whose overload most recently made a call
// fail at or after start, or "" if there is none.
func (s *callTracker) overloadedSince(start time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, name := start, ""
	for service, at := range s.overloadedAt {
		if !at.Before(last) {
			last, name = at, service
		}
	}
	return name
}
