// Package press applies backpressure from nested calls. A target whose nested
// calls are refused by another service wastes the work that it does for those
// requests. All hops shed the requests with the highest shed order first, so the
// requests whose nested calls are refused are those above some shed order. The
// throttle learns this threshold for each route, workspace and rank, and refuses
// the requests above it before they run.
package press

import "time"

// Bounds of the measurement windows and of the table.
const (
	// A window closes after minWindowLength if it has minWindowCalls, and after
	// maxWindowLength in any case.
	minWindowLength = 200 * time.Millisecond
	minWindowCalls  = 10
	maxWindowLength = 400 * time.Millisecond
	// idleTimeout is how long a key's window must have been open for the key to be
	// removed from a full table.
	idleTimeout = 5 * time.Second
	// maxKeys bounds the table. Requests with further keys are not throttled.
	maxKeys = 1024
)

// Factors of the control loop.
const (
	// toleratedRefusals is the share of requests with refused nested calls up to
	// which the admitted share does not fall.
	toleratedRefusals = 0.1
	// decreaseGain scales a decrease. If a share r of the requests in a window had
	// refused nested calls, the admitted share is multiplied by 1 - decreaseGain*r.
	decreaseGain     = 0.8
	minAdmittedShare = 0.05
	// After a decrease, the first window whose refused share is within
	// toleratedRefusals multiplies the admitted share by minShareGrowth. Each
	// further such window squares the factor, up to maxShareGrowth.
	minShareGrowth = 1.2
	maxShareGrowth = 2.0
	// shedOrderCount is the number of possible shed orders.
	shedOrderCount = 1 << 32
)

// Key identifies the requests that share one admitted share.
type Key struct {
	Route     string
	Workspace string
	Rank      int
}

// keyState is what the throttle has learned about one key.
type keyState struct {
	// admittedShare is the share of all shed orders that is admitted. It covers the
	// lowest shed orders and lies between minAdmittedShare and 1.
	admittedShare float64
	// growth is the factor of the next increase, between minShareGrowth and maxShareGrowth.
	growth float64
	// The fields below belong to the open window.
	windowStart time.Time
	calls       int
	refused     int
}

// Throttle refuses requests whose nested calls are likely to be refused. It is
// not safe for concurrent use.
type Throttle struct {
	// keys has at most maxKeys entries. Observe removes a key when it closes a
	// window with an admitted share of 1.
	keys      map[Key]*keyState
	lastSweep time.Time
}

// New returns a throttle that admits everything.
func New() *Throttle {
	return &Throttle{keys: make(map[Key]*keyState)}
}

// Len returns the number of keys in the table, at most 1024.
func (t *Throttle) Len() int {
	return len(t.keys)
}

// Admits reports whether a request with this shed order may run. Before it refuses
// a request, it closes a window that has reached maxWindowLength, because Observe
// closes none while all requests are refused.
func (t *Throttle) Admits(now time.Time, key Key, shedOrder uint32) bool {
	s, ok := t.keys[key]
	if !ok || s.admits(shedOrder) {
		return true
	}
	if now.Sub(s.windowStart) >= maxWindowLength {
		s.closeWindow(now)
	}
	return s.admits(shedOrder)
}

func (s *keyState) admits(shedOrder uint32) bool {
	return float64(shedOrder) < s.admittedShare*shedOrderCount
}

// Observe records the end of a request. nestedRefused is true if the request
// failed because one of its nested calls was refused.
func (t *Throttle) Observe(now time.Time, key Key, shedOrder uint32, nestedRefused bool) {
	s, ok := t.keys[key]
	if !ok {
		if !nestedRefused || !t.hasRoom(now) {
			return
		}
		s = &keyState{admittedShare: 1, growth: minShareGrowth, windowStart: now}
		t.keys[key] = s
	}
	if !s.admits(shedOrder) {
		// The request was admitted while the admitted share was higher. It would
		// be refused now, so its result says nothing about the present share.
		return
	}
	s.calls++
	if nestedRefused {
		s.refused++
	}
	length := now.Sub(s.windowStart)
	if length < minWindowLength || s.calls < minWindowCalls && length < maxWindowLength {
		return
	}
	s.closeWindow(now)
	if s.admittedShare >= 1 && s.refused == 0 {
		delete(t.keys, key)
	}
}

// closeWindow adjusts the admitted share to the refusals in the open window and
// starts the next window.
func (s *keyState) closeWindow(now time.Time) {
	refusedShare := 0.0
	if s.calls > 0 {
		refusedShare = float64(s.refused) / float64(s.calls)
	}
	if refusedShare > toleratedRefusals {
		s.admittedShare = max(minAdmittedShare, s.admittedShare*(1-decreaseGain*refusedShare))
		s.growth = minShareGrowth
	} else {
		s.admittedShare = min(1, s.admittedShare*s.growth)
		s.growth = min(s.growth*s.growth, maxShareGrowth)
	}
	s.windowStart, s.calls, s.refused = now, 0, 0
}

// hasRoom reports whether the table has room for another key. It removes idle
// keys from a full table first, at most once per idleTimeout.
func (t *Throttle) hasRoom(now time.Time) bool {
	if len(t.keys) < maxKeys {
		return true
	}
	if now.Sub(t.lastSweep) < idleTimeout {
		return false
	}
	t.lastSweep = now
	for key, s := range t.keys {
		if now.Sub(s.windowStart) >= idleTimeout {
			delete(t.keys, key)
		}
	}
	return len(t.keys) < maxKeys
}
