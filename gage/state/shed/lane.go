package shed

import (
	"sort"
	"time"
)

// lane is the waiting work of one workspace in one class.
type lane struct {
	workspace string
	// entries are in the order in which they are to be served.
	entries []Entry
	// served is the virtual time: it grows by one with each entry taken and
	// is at least the level's when work arrives at an empty lane.
	served float64
	// emptyAt is when the lane was last seen without work.
	emptyAt time.Time
}

func (ln *lane) insert(e Entry, d Discipline) {
	at := sort.Search(len(ln.entries), func(i int) bool {
		return goesBefore(e, ln.entries[i], d)
	})
	ln.entries = append(ln.entries, Entry{})
	copy(ln.entries[at+1:], ln.entries[at:])
	ln.entries[at] = e
}

// goesBefore reports whether a is served before b in one lane.
func goesBefore(a, b Entry, d Discipline) bool {
	switch {
	case d == DisciplineNewest:
		return a.ID > b.ID
	case d == DisciplineOrder && a.ShedOrder != b.ShedOrder:
		return a.ShedOrder < b.ShedOrder
	default:
		return a.ID < b.ID
	}
}

func (ln *lane) takeFirst(now time.Time) Entry {
	e := ln.entries[0]
	ln.entries = append(ln.entries[:0], ln.entries[1:]...)
	ln.noteEmpty(now)
	return e
}

func (ln *lane) takeLast(now time.Time) Entry {
	last := len(ln.entries) - 1
	e := ln.entries[last]
	ln.entries = ln.entries[:last]
	ln.noteEmpty(now)
	return e
}

func (ln *lane) noteEmpty(now time.Time) {
	if len(ln.entries) == 0 {
		ln.emptyAt = now
	}
}

func (ln *lane) before(other *lane) bool {
	if ln.served != other.served {
		return ln.served < other.served
	}
	return ln.entries[0].ID < other.entries[0].ID
}

func (ln *lane) longerThan(other *lane) bool {
	if len(ln.entries) != len(other.entries) {
		return len(ln.entries) > len(other.entries)
	}
	return other.before(ln)
}
