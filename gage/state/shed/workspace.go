package shed

import (
	"sort"
	"time"
)

// workspaceQueue holds the waiting calls of one workspace in one class.
type workspaceQueue struct {
	workspace string
	// entries are in the order in which they are served.
	entries []Entry
	// virtualTime grows by one with each call served. When a call joins an empty
	// queue, the virtual time is raised to that of the class if it is lower, so that
	// a workspace gains no priority from having been idle.
	virtualTime float64
	// lastEmptyAt is the last time at which the queue was empty.
	lastEmptyAt time.Time
}

func (w *workspaceQueue) insert(e Entry, d Discipline) {
	index := sort.Search(len(w.entries), func(i int) bool {
		return entryBefore(e, w.entries[i], d)
	})
	w.entries = append(w.entries, Entry{})
	copy(w.entries[index+1:], w.entries[index:])
	w.entries[index] = e
}

// entryBefore reports whether a is served before b when both belong to the same
// workspace and class.
func entryBefore(a, b Entry, d Discipline) bool {
	switch {
	case d == DisciplineNewest:
		return a.ID > b.ID
	case d == DisciplineShedOrder && a.ShedOrder != b.ShedOrder:
		return a.ShedOrder < b.ShedOrder
	default:
		return a.ID < b.ID
	}
}

func (w *workspaceQueue) popFirst(now time.Time) Entry {
	e := w.entries[0]
	w.entries = append(w.entries[:0], w.entries[1:]...)
	w.recordEmpty(now)
	return e
}

func (w *workspaceQueue) popLast(now time.Time) Entry {
	last := len(w.entries) - 1
	e := w.entries[last]
	w.entries = w.entries[:last]
	w.recordEmpty(now)
	return e
}

// recordEmpty sets lastEmptyAt if the queue is empty.
func (w *workspaceQueue) recordEmpty(now time.Time) {
	if len(w.entries) == 0 {
		w.lastEmptyAt = now
	}
}

// before reports whether w is served before other. Neither may be empty.
func (w *workspaceQueue) before(other *workspaceQueue) bool {
	if w.virtualTime != other.virtualTime {
		return w.virtualTime < other.virtualTime
	}
	return w.entries[0].ID < other.entries[0].ID
}

// longerThan reports whether w holds more entries than other. Of two queues of
// equal length, the one that is served later counts as longer.
func (w *workspaceQueue) longerThan(other *workspaceQueue) bool {
	if len(w.entries) != len(other.entries) {
		return len(w.entries) > len(other.entries)
	}
	return other.before(w)
}
