package recent

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// maxPerRequest is the maximum number of events that Ring.Events returns.
const maxPerRequest = 256

// Ring is a ring buffer of events. When it is full, each new event overwrites
// the oldest one. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	// next is the sequence number of the next event, counted from 0. The event
	// with sequence number n is at index n modulo the capacity of the ring.
	next int
	// byRequest holds, for each RequestID and RootID, the sequence numbers of
	// the events in the ring, oldest first. An event whose two IDs differ is
	// listed under both.
	byRequest map[string][]int
}

// New returns an empty ring for up to size events. size must be positive.
func New(size int) *Ring {
	invar.Check(size > 0, "RingHasRoom", "Size", size)
	return &Ring{
		events:    make([]Event, 0, size),
		byRequest: make(map[string][]int),
	}
}

// Add adds an event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		index := r.next % cap(r.events)
		r.unindex(r.events[index], r.next-cap(r.events))
		r.events[index] = e
	}
	for _, id := range requestIDs(e) {
		r.byRequest[id] = append(r.byRequest[id], r.next)
	}
	r.next++
}

// Events returns the events of a request that are still in the ring, oldest
// first, but at most the latest 256. For a caller's request they include the
// events of all nested calls that it led to.
func (r *Ring) Events(requestID string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequences := r.byRequest[requestID]
	if len(sequences) > maxPerRequest {
		sequences = sequences[len(sequences)-maxPerRequest:]
	}
	events := make([]Event, 0, len(sequences))
	for _, sequence := range sequences {
		events = append(events, r.events[sequence%cap(r.events)])
	}
	return events
}

// Len returns the number of events in the ring.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}

// unindex removes the oldest event, whose sequence number is given, from
// byRequest. The caller must hold mu.
func (r *Ring) unindex(e Event, sequence int) {
	for _, id := range requestIDs(e) {
		sequences := r.byRequest[id]
		invar.Check(len(sequences) > 0 && sequences[0] == sequence, "RingForgetsOldestFirst", "RequestID", id)
		if len(sequences) == 1 {
			delete(r.byRequest, id)
			continue
		}
		r.byRequest[id] = sequences[1:]
	}
}

// requestIDs returns the IDs under which an event is indexed.
func requestIDs(e Event) []string {
	if e.RootID == "" || e.RootID == e.RequestID {
		return []string{e.RequestID}
	}
	return []string{e.RequestID, e.RootID}
}
