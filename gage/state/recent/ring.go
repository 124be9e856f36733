package recent

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// maxPerRequest bounds the events that are returned for one request.
const maxPerRequest = 256

// Ring holds the latest events, and forgets the oldest when it is full. Any
// number of goroutines may use it.
type Ring struct {
	mu     sync.Mutex
	events []Event
	// next is the number of events added so far; the event numbered n stands
	// at n modulo the size.
	next int
	// byRequest holds the numbers of the kept events of each RequestID and
	// RootID, oldest first. An event stands under both when they differ.
	byRequest map[string][]int
}

// New returns an empty ring for size events.
func New(size int) *Ring {
	invar.Check(size > 0, "RingHasRoom", "Size", size)
	return &Ring{
		events:    make([]Event, 0, size),
		byRequest: make(map[string][]int),
	}
}

// Add keeps an event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		slot := r.next % cap(r.events)
		r.forget(r.events[slot], r.next-cap(r.events))
		r.events[slot] = e
	}
	for _, id := range ids(e) {
		r.byRequest[id] = append(r.byRequest[id], r.next)
	}
	r.next++
}

// Events returns the kept events of a request, oldest first. Those of nested
// calls come with the request at the head of their chain.
func (r *Ring) Events(requestID string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	numbers := r.byRequest[requestID]
	if len(numbers) > maxPerRequest {
		numbers = numbers[len(numbers)-maxPerRequest:]
	}
	found := make([]Event, 0, len(numbers))
	for _, number := range numbers {
		found = append(found, r.events[number%cap(r.events)])
	}
	return found
}

// Len returns how many events are kept.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}

// forget takes the oldest event out of the index. The caller holds mu.
func (r *Ring) forget(e Event, number int) {
	for _, id := range ids(e) {
		numbers := r.byRequest[id]
		invar.Check(len(numbers) > 0 && numbers[0] == number, "RingForgetsOldestFirst", "RequestID", id)
		if len(numbers) == 1 {
			delete(r.byRequest, id)
			continue
		}
		r.byRequest[id] = numbers[1:]
	}
}

func ids(e Event) []string {
	if e.RootID == "" || e.RootID == e.RequestID {
		return []string{e.RequestID}
	}
	return []string{e.RequestID, e.RootID}
}
