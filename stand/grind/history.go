package grind

import (
	"sort"
	"sync"
	"time"
)

// span is a time in which something was disturbed.
type span struct {
	who      string
	from, to time.Time
}

// history keeps what was done to the fleet, and when.
type history struct {
	mu      sync.Mutex
	spans   []span
	stops   []span
	changes []Change
}

// startTime is how long a process may take until it is back after a kill or a
// stop, with what it has to learn.
const startTime = 2 * time.Second

// disturb notes that a VM or the store is disturbed for a while.
func (h *history) disturb(who string, from time.Time, lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, span{who: who, from: from, to: from.Add(lasts)})
}

// stop notes that a VM is stopped as planned.
func (h *history) stop(vm string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, span{who: vm, from: from, to: to})
}

func (h *history) change(c Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// ordered returns the changes in the order of their times.
func (h *history) ordered() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	sort.SliceStable(h.changes, func(i, j int) bool { return h.changes[i].At.Before(h.changes[j].At) })
	return append([]Change{}, h.changes...)
}

// disturbed reports whether a VM or the store was disturbed in a span; "" asks
// for anything. A node that was stopped as planned is new, too.
func (h *history) disturbed(who string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlap(h.spans, who, from, to) || who != "" && overlap(h.stops, who, from, to)
}

func (h *history) stopping(vm string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlap(h.stops, vm, from, to)
}

func overlap(spans []span, who string, from, to time.Time) bool {
	for _, s := range spans {
		if (who == "" || s.who == who) && s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}
