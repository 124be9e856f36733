package shed

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// Discipline is the order in which the calls of one workspace and class are
// served.
type Discipline string

// The disciplines.
const (
	// DisciplineOldest serves the call that arrived first.
	DisciplineOldest Discipline = "Oldest"
	// DisciplineNewest serves the call that arrived last.
	DisciplineNewest Discipline = "Newest"
	// DisciplineShedOrder serves the call with the lowest ShedOrder, so that
	// every hop prefers the same requests.
	DisciplineShedOrder Discipline = "Order"
)

// Options configure a queue.
type Options struct {
	// Capacity is the largest number of entries, at least 1.
	Capacity   int
	Discipline Discipline
}

// WaitLimits bound how long a call may wait before it is refused with
// ReasonOverload.
type WaitLimits struct {
	// NormalWait is the limit for a call whose workspace and class have no standing
	// queue. A queue counts as standing once it has not been empty for longer than
	// NormalWait. 0 means that all calls may wait until their deadline.
	NormalWait time.Duration
	// StandingQueueWait is the limit for a call whose workspace and class have a
	// standing queue.
	StandingQueueWait time.Duration
	// BurstWait replaces the other limits, if it is longer, for calls that are not
	// nested. It applies to a call if a less important one was admitted less than
	// BurstWait ago. The target then has capacity for the usual load of the more
	// important calls, so their queue is a burst that drains. Nested calls are
	// excluded because a long wait would block the service that made them.
	BurstWait time.Duration
	// MinLatency is the least time in which the target answers a call. A call with
	// no more time than that left before its deadline is refused.
	MinLatency time.Duration
}

// Queue is a bounded queue of waiting calls. It is not safe for concurrent use.
type Queue struct {
	options Options
	// size is at most Capacity and equals the sum of the sizes of classes.
	size int
	// classes is indexed by Class.
	classes []classQueue
	// lastAdmittedAt holds, for each rank, when Pop last returned a call of it.
	lastAdmittedAt []time.Time
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{
		options:        options,
		classes:        make([]classQueue, 2*RankCount),
		lastAdmittedAt: make([]time.Time, RankCount),
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	return q.size
}

// Full reports whether the next Push must drop an entry.
func (q *Queue) Full() bool {
	return q.size >= q.options.Capacity
}

// LenThroughRank returns the number of waiting entries with rank 0 to rank,
// inclusive. It is 0 for a negative rank.
func (q *Queue) LenThroughRank(rank int) int {
	sum := 0
	for i := range q.classes[:2*(rank+1)] {
		sum += q.classes[i].size
	}
	return sum
}

// Push adds an entry. If the queue is full, it drops one entry. This is a waiting
// one of lower priority or, in the same class, one of a workspace with more waiting
// entries or one that would be served later. If there is none, the newcomer is
// dropped. Push returns the dropped entry and whether there is one.
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
	q.checkNoLessImportantAdmitted(victim)
	return Refusal{Entry: victim, Reason: gage.ReasonQueueFull}, true
}

func (q *Queue) add(now time.Time, e Entry) {
	c := &q.classes[Class(e)]
	c.queueFor(now, e.Workspace).insert(e, q.options.Discipline)
	c.size++
	q.size++
}

// evict removes an entry of the lowest priority in the queue and returns it. It
// returns false if the newcomer must be dropped instead.
func (q *Queue) evict(now time.Time, newcomer Entry) (Entry, bool) {
	for i := len(q.classes) - 1; i >= Class(newcomer); i-- {
		c := &q.classes[i]
		if c.size == 0 {
			continue
		}
		source := c.longest()
		if i == Class(newcomer) {
			source = c.evictionSource(newcomer, q.options.Discipline)
		}
		if source == nil {
			return Entry{}, false
		}
		c.size--
		q.size--
		return source.popLast(now), true
	}
	return Entry{}, false
}

// Pop removes and returns the entry to be served next, or false if none is left.
// If it finds entries before this one that may no longer be admitted, it removes
// them and passes them to refuse.
func (q *Queue) Pop(now time.Time, limits WaitLimits, refuse func(Refusal)) (Entry, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		for c.size > 0 {
			w := c.next()
			e := w.entries[0]
			reason := q.refusalReason(now, limits, w, e)
			w.popFirst(now)
			c.size--
			q.size--
			if reason != gage.ReasonNone {
				q.checkNoLessImportantAdmitted(e)
				refuse(Refusal{Entry: e, Reason: reason})
				continue
			}
			c.charge(w)
			invar.Check(q.LenThroughRank(e.Rank-1) == 0, "AdmittedOutranksWaiting", "Rank", e.Rank)
			q.lastAdmittedAt[e.Rank] = now
			return e, true
		}
	}
	return Entry{}, false
}

// Expire removes the entries that may no longer be admitted at now and passes
// them to refuse.
func (q *Queue) Expire(now time.Time, limits WaitLimits, refuse func(Refusal)) {
	q.filter(now, func(w *workspaceQueue, e Entry) bool {
		reason := q.refusalReason(now, limits, w, e)
		if reason == gage.ReasonNone {
			return true
		}
		q.checkNoLessImportantAdmitted(e)
		refuse(Refusal{Entry: e, Reason: reason})
		return false
	})
}

// Remove removes the entry of a canceled call. It reports whether the queue held
// an entry with this ID.
func (q *Queue) Remove(now time.Time, id uint64) bool {
	before := q.size
	q.filter(now, func(_ *workspaceQueue, e Entry) bool { return e.ID != id })
	return q.size < before
}

// Clear removes all entries and passes each to removed.
func (q *Queue) Clear(now time.Time, removed func(Entry)) {
	q.filter(now, func(_ *workspaceQueue, e Entry) bool {
		removed(e)
		return false
	})
}

func (q *Queue) filter(now time.Time, keep func(*workspaceQueue, Entry) bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.size == 0 {
			continue
		}
		before := c.size
		c.filter(now, keep)
		q.size -= before - c.size
	}
}

// refusalReason returns why entry e of w may not wait any longer, or ReasonNone
// if it may.
func (q *Queue) refusalReason(now time.Time, limits WaitLimits, w *workspaceQueue, e Entry) gage.Reason {
	if reason := ExpiryReason(now, e, limits.MinLatency); reason != gage.ReasonNone {
		return reason
	}
	if limits.NormalWait <= 0 {
		return gage.ReasonNone
	}
	maxWait := limits.NormalWait
	if now.Sub(w.lastEmptyAt) > limits.NormalWait {
		maxWait = limits.StandingQueueWait
	}
	if !e.Nested && limits.BurstWait > maxWait && q.admittedLessImportant(now.Add(-limits.BurstWait), e.Rank) {
		maxWait = limits.BurstWait
	}
	if now.Sub(e.ArrivedAt) > maxWait {
		return gage.ReasonOverload
	}
	return gage.ReasonNone
}

// admittedLessImportant reports whether a call less important than rank was admitted
// after since.
func (q *Queue) admittedLessImportant(since time.Time, rank int) bool {
	for lessImportant := rank + 1; lessImportant < RankCount; lessImportant++ {
		if q.lastAdmittedAt[lessImportant].After(since) {
			return true
		}
	}
	return false
}

// checkNoLessImportantAdmitted checks the invariant that no call of lower
// importance was admitted while the refused entry waited.
func (q *Queue) checkNoLessImportantAdmitted(e Entry) {
	for rank := e.Rank + 1; rank < RankCount; rank++ {
		invar.Check(!q.lastAdmittedAt[rank].After(e.ArrivedAt), "LowerNotAdmittedInsteadOfHigher",
			"RefusedRank", e.Rank, "AdmittedRank", rank)
	}
}
