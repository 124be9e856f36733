package shed

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// Discipline orders the calls of one workspace in one class.
type Discipline string

// The disciplines.
const (
	// DisciplineOldest takes the call that has waited longest.
	DisciplineOldest Discipline = "Oldest"
	// DisciplineNewest takes the call that has waited least.
	DisciplineNewest Discipline = "Newest"
	// DisciplineOrder takes the call whose request has the lowest ShedOrder, so
	// that every hop prefers the same requests.
	DisciplineOrder Discipline = "Order"
)

// Options bound a queue.
type Options struct {
	// Capacity is the largest number of entries, at least 1.
	Capacity   int
	Discipline Discipline
}

// Patience is how long calls may wait.
type Patience struct {
	// Long is how long a call may wait while the calls of its workspace and
	// class do not form a standing queue; 0 means until its deadline.
	Long time.Duration
	// Short is how long it may wait while they do. A queue stands once it has
	// not been empty for Long.
	Short time.Duration
	// Outranking is how long a call that is not nested may wait while calls of
	// a lower rank were taken within that time: its own rank does not ask for
	// more than the target bears, and what it waits behind is a burst that
	// passes. A nested call would hold up the service that made it.
	Outranking time.Duration
	// Fastest is the least time in which a call can be answered.
	Fastest time.Duration
}

// Queue is a bounded queue of waiting calls.
type Queue struct {
	options Options
	// size is at most Capacity and equals the sum of the sizes of levels.
	size int
	// levels holds one level for each class.
	levels []level
	// admittedAt is when a call of each rank was last taken.
	admittedAt []time.Time
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{
		options:    options,
		levels:     make([]level, 2*Ranks),
		admittedAt: make([]time.Time, Ranks),
	}
}

// Len returns how many entries wait.
func (q *Queue) Len() int {
	return q.size
}

// Full reports whether the next Push must drop an entry.
func (q *Queue) Full() bool {
	return q.size >= q.options.Capacity
}

// Ahead returns how many entries of the rank and those above it wait.
func (q *Queue) Ahead(rank int) int {
	sum := 0
	for i := range q.levels[:2*(rank+1)] {
		sum += q.levels[i].size
	}
	return sum
}

// Push adds an entry. A full queue gives up the entry that would be served
// last, when the newcomer goes before it in importance or fair share, and
// otherwise refuses the newcomer.
func (q *Queue) Push(now time.Time, e Entry) (Refusal, bool) {
	if !q.Full() {
		q.add(now, e)
		return Refusal{}, false
	}
	victim, ok := q.evict(now, e)
	if ok {
		q.add(now, e)
	} else {
		victim = e
	}
	invar.Check(victim.Rank >= e.Rank, "EvictionNeverHitsHigher",
		"VictimRank", victim.Rank, "NewcomerRank", e.Rank)
	q.checkRefusal(victim)
	return Refusal{Entry: victim, Reason: gage.ReasonQueueFull}, true
}

func (q *Queue) add(now time.Time, e Entry) {
	l := &q.levels[Class(e)]
	l.lane(now, e.Workspace).insert(e, q.options.Discipline)
	l.size++
	q.size++
}

// evict takes out the entry that would be served last, unless it would go
// before the newcomer.
func (q *Queue) evict(now time.Time, newcomer Entry) (Entry, bool) {
	for i := len(q.levels) - 1; i >= Class(newcomer); i-- {
		l := &q.levels[i]
		if l.size == 0 {
			continue
		}
		victim := l.longest()
		if i == Class(newcomer) {
			victim = l.yields(newcomer, q.options.Discipline)
		}
		if victim == nil {
			return Entry{}, false
		}
		l.size--
		q.size--
		return victim.takeLast(now), true
	}
	return Entry{}, false
}

// Pop removes the entry that goes next. Entries that may no longer be
// admitted are handed to refuse instead.
func (q *Queue) Pop(now time.Time, p Patience, refuse func(Refusal)) (Entry, bool) {
	for i := range q.levels {
		l := &q.levels[i]
		for l.size > 0 {
			ln := l.next()
			e := ln.entries[0]
			reason := q.exhausted(now, p, ln, e)
			ln.takeFirst(now)
			l.size--
			q.size--
			if reason != gage.ReasonNone {
				q.checkRefusal(e)
				refuse(Refusal{Entry: e, Reason: reason})
				continue
			}
			l.charge(ln)
			invar.Check(q.Ahead(e.Rank-1) == 0, "AdmittedOutranksWaiting", "Rank", e.Rank)
			q.admittedAt[e.Rank] = now
			return e, true
		}
	}
	return Entry{}, false
}

// Expire removes the entries that may no longer be admitted at now.
func (q *Queue) Expire(now time.Time, p Patience, refuse func(Refusal)) {
	q.filter(now, func(ln *lane, e Entry) bool {
		reason := q.exhausted(now, p, ln, e)
		if reason == gage.ReasonNone {
			return true
		}
		q.checkRefusal(e)
		refuse(Refusal{Entry: e, Reason: reason})
		return false
	})
}

// Remove takes out one entry whose caller has gone.
func (q *Queue) Remove(now time.Time, id uint64) bool {
	before := q.size
	q.filter(now, func(_ *lane, e Entry) bool { return e.ID != id })
	return q.size < before
}

// Clear removes all entries.
func (q *Queue) Clear(now time.Time, each func(Entry)) {
	q.filter(now, func(_ *lane, e Entry) bool {
		each(e)
		return false
	})
}

func (q *Queue) filter(now time.Time, keep func(*lane, Entry) bool) {
	for i := range q.levels {
		l := &q.levels[i]
		if l.size == 0 {
			continue
		}
		before := l.size
		l.filter(now, keep)
		q.size -= before - l.size
	}
}

// exhausted returns why the entry of the lane may wait no longer, or
// ReasonNone.
func (q *Queue) exhausted(now time.Time, p Patience, ln *lane, e Entry) gage.Reason {
	if reason := ExpiryReason(now, e, p.Fastest); reason != gage.ReasonNone {
		return reason
	}
	if p.Long <= 0 {
		return gage.ReasonNone
	}
	wait := p.Long
	if now.Sub(ln.emptyAt) > p.Long {
		wait = p.Short
	}
	if !e.Nested && p.Outranking > wait && q.tookLower(now.Add(-p.Outranking), e.Rank) {
		wait = p.Outranking
	}
	if now.Sub(e.ArrivedAt) > wait {
		return gage.ReasonOverload
	}
	return gage.ReasonNone
}

// tookLower reports whether a call of a lower rank was taken since.
func (q *Queue) tookLower(since time.Time, rank int) bool {
	for lower := rank + 1; lower < Ranks; lower++ {
		if q.admittedAt[lower].After(since) {
			return true
		}
	}
	return false
}

// checkRefusal holds that nothing of a lower importance was admitted while
// the refused entry waited.
func (q *Queue) checkRefusal(e Entry) {
	for rank := e.Rank + 1; rank < Ranks; rank++ {
		invar.Check(!q.admittedAt[rank].After(e.ArrivedAt), "LowerNotAdmittedInsteadOfHigher",
			"RefusedRank", e.Rank, "AdmittedRank", rank)
	}
}
