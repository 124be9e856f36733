package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultMode is the kind of fault that the store injects into calls.
type FaultMode string

// The fault modes.
const (
	// FaultNone injects no fault.
	FaultNone FaultMode = "None"
	// FaultDown aborts every call before it takes effect, and every open watch.
	FaultDown FaultMode = "Down"
	// FaultSlow delays a call before it takes effect. The call takes effect even
	// if the client has closed the connection by then.
	FaultSlow FaultMode = "Slow"
	// FaultLoseAnswers aborts the connection after the call has taken effect, so
	// that the client gets no response.
	FaultLoseAnswers FaultMode = "LoseAnswers"
)

// Fault is the body of POST /fault.
type Fault struct {
	Mode FaultMode
	// DelayMillis is the delay of mode Slow.
	DelayMillis int
	// Share is the fraction of calls with the fault, from 0 to 1; 0 means 1. Mode
	// Down ignores it and affects every call.
	Share float64
}

func (f Fault) valid() bool {
	switch f.Mode {
	case FaultNone, FaultDown, FaultSlow, FaultLoseAnswers:
		return f.DelayMillis >= 0 && f.Share >= 0 && f.Share <= 1
	}
	return false
}

// faultInjector selects at random which calls get the current fault.
type faultInjector struct {
	mu     sync.Mutex
	fault  Fault
	random *rand.Rand
	// down is closed while the mode is Down, which aborts open watches.
	down chan struct{}
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{
		fault:  Fault{Mode: FaultNone},
		random: rand.New(rand.NewPCG(seed, seed)),
		down:   make(chan struct{}),
	}
}

// set replaces the fault.
func (f *faultInjector) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Share == 0 {
		next.Share = 1
	}
	wasDown, isDown := f.fault.Mode == FaultDown, next.Mode == FaultDown
	if isDown && !wasDown {
		close(f.down)
	}
	if wasDown && !isDown {
		f.down = make(chan struct{})
	}
	f.fault = next
}

// next returns the fault for the next call, with mode None for no fault.
func (f *faultInjector) next() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.Mode != FaultDown && f.random.Float64() >= f.fault.Share {
		return Fault{Mode: FaultNone}
	}
	return f.fault
}

// downSignal returns a channel that is closed while the mode is Down. The channel
// is replaced when the mode changes from Down to another.
func (f *faultInjector) downSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
