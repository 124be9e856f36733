package shed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

var start = time.Unix(1_800_000_000, 0)

// model is a reference implementation of the queue. It holds the waiting entries in
// a plain list.
type model struct {
	options shed.Options
	waiting []shed.Entry
	// served counts the entries served by queueName. The counts of a class are reset
	// when the queue of one of its workspaces becomes empty or ceases to be empty.
	served map[string]int
}

// queueName identifies the class and the workspace of an entry.
func queueName(e shed.Entry) string {
	return fmt.Sprintf("%d/%s", shed.Class(e), e.Workspace)
}

// queue returns the waiting entries with the same queueName as e.
func (m *model) queue(e shed.Entry) []shed.Entry {
	var queue []shed.Entry
	for _, w := range m.waiting {
		if queueName(w) == queueName(e) {
			queue = append(queue, w)
		}
	}
	return queue
}

func (m *model) add(e shed.Entry) {
	if len(m.queue(e)) == 0 {
		m.resetServed(e)
	}
	m.waiting = append(m.waiting, e)
}

func (m *model) remove(t *rapid.T, id uint64) {
	for i, w := range m.waiting {
		if w.ID != id {
			continue
		}
		m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
		if len(m.queue(w)) == 0 {
			m.resetServed(w)
		}
		return
	}
	t.Fatalf("entry %d was removed but was not waiting", id)
}

// resetServed clears the served counts of the class of e.
func (m *model) resetServed(e shed.Entry) {
	prefix := fmt.Sprintf("%d/", shed.Class(e))
	for name := range m.served {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			delete(m.served, name)
		}
	}
}

// checkNext checks that no waiting entry should have been served before e.
func (m *model) checkNext(t *rapid.T, e shed.Entry) {
	for _, w := range m.waiting {
		if shed.Class(w) < shed.Class(e) {
			t.Fatalf("%+v was served before %+v", e, w)
		}
		if queueName(w) == queueName(e) && m.before(w, e) {
			t.Fatalf("%+v was served out of order before %+v", e, w)
		}
	}
}

func (m *model) before(a, b shed.Entry) bool {
	switch m.options.Discipline {
	case shed.DisciplineNewest:
		return a.ID > b.ID
	case shed.DisciplineShedOrder:
		return a.ShedOrder < b.ShedOrder || a.ShedOrder == b.ShedOrder && a.ID < b.ID
	default:
		return a.ID < b.ID
	}
}

// checkFairShare counts e as served. It checks that no workspace has been served more
// than two entries more often than another one with entries waiting in the same
// class. Fair sharing allows a difference of one. A workspace that was one behind
// when the counts were reset may catch up, which allows one more.
func (m *model) checkFairShare(t *rapid.T, e shed.Entry) {
	m.served[queueName(e)]++
	for _, w := range m.waiting {
		if shed.Class(w) != shed.Class(e) {
			continue
		}
		if m.served[queueName(e)] > m.served[queueName(w)]+2 {
			t.Fatalf("%s was served %d times and %s %d times", queueName(e), m.served[queueName(e)], queueName(w), m.served[queueName(w)])
		}
	}
}

// checkDropped checks that a full queue dropped the right entry for the newcomer.
func (m *model) checkDropped(t *rapid.T, dropped, newcomer shed.Entry) {
	if shed.Class(dropped) < shed.Class(newcomer) {
		t.Fatalf("%+v was dropped for %+v of lower priority", dropped, newcomer)
	}
	for _, w := range m.waiting {
		if shed.Class(w) > shed.Class(dropped) {
			t.Fatalf("%+v was dropped while %+v of lower priority waits", dropped, w)
		}
	}
	for _, w := range m.waiting {
		if shed.Class(w) == shed.Class(dropped) && len(m.queue(w)) > len(m.queue(dropped))+2 {
			t.Fatalf("%+v was dropped while the queue of %+v is longer", dropped, w)
		}
	}
}

func drawEntry(t *rapid.T, id uint64, now time.Time) shed.Entry {
	e := shed.Entry{
		ID:        id,
		Rank:      rapid.IntRange(0, shed.RankCount-1).Draw(t, "rank"),
		Nested:    rapid.Bool().Draw(t, "nested"),
		Workspace: rapid.SampledFrom([]string{"", "north", "south", "west"}).Draw(t, "workspace"),
		ShedOrder: uint32(rapid.IntRange(0, 9).Draw(t, "order")),
		ArrivedAt: now,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		e.Deadline = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond)
	}
	if rapid.Bool().Draw(t, "has admit by") {
		e.AdmitBy = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "admit by")) * time.Millisecond)
	}
	return e
}

// checkReason checks that the condition for the reason of a refusal holds.
func checkReason(t *rapid.T, now time.Time, limits shed.WaitLimits, r shed.Refusal) {
	holds := false
	switch r.Reason {
	case gage.ReasonDeadline:
		holds = !r.Entry.Deadline.IsZero() && !now.Add(limits.MinLatency).Before(r.Entry.Deadline)
	case gage.ReasonStaleDecision:
		holds = !r.Entry.AdmitBy.IsZero() && now.After(r.Entry.AdmitBy)
	case gage.ReasonOverload:
		holds = now.Sub(r.Entry.ArrivedAt) > limits.StandingQueueWait
	}
	if !holds {
		t.Fatalf("%+v was refused %v after the start for %s, whose condition does not hold", r.Entry, now.Sub(start), r.Reason)
	}
}

func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := shed.Options{
			Capacity: rapid.IntRange(1, 12).Draw(t, "capacity"),
			Discipline: rapid.SampledFrom([]shed.Discipline{
				shed.DisciplineOldest, shed.DisciplineNewest, shed.DisciplineShedOrder,
			}).Draw(t, "discipline"),
		}
		limits := shed.WaitLimits{NormalWait: 100 * time.Millisecond, StandingQueueWait: 20 * time.Millisecond, MinLatency: 5 * time.Millisecond}
		q := shed.New(options)
		m := &model{options: options, served: make(map[string]int)}
		now, id := start, uint64(0)
		refuse := func(r shed.Refusal) {
			checkReason(t, now, limits, r)
			m.remove(t, r.Entry.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				e := drawEntry(t, id, now)
				isFull := len(m.waiting) == options.Capacity
				dropped, ok := q.Push(now, e)
				assert.Equal(t, ok, isFull)
				m.add(e)
				if ok {
					assert.Equal(t, dropped.Reason, gage.ReasonQueueFull)
					m.remove(t, dropped.Entry.ID)
					m.checkDropped(t, dropped.Entry, e)
				}
			},
			"pop": func(t *rapid.T) {
				e, ok := q.Pop(now, limits, refuse)
				assert.Equal(t, ok, len(m.waiting) > 0)
				if !ok {
					return
				}
				assert.Equal(t, shed.ExpiryReason(now, e, limits.MinLatency), gage.ReasonNone)
				m.checkNext(t, e)
				m.checkFairShare(t, e)
				m.remove(t, e.ID)
			},
			"expire": func(t *rapid.T) {
				q.Expire(now, limits, refuse)
				for _, w := range m.waiting {
					assert.Equal(t, shed.ExpiryReason(now, w, limits.MinLatency), gage.ReasonNone)
					assert.Assert(t, now.Sub(w.ArrivedAt) <= limits.NormalWait)
				}
			},
			"cancel": func(t *rapid.T) {
				canceledID := uint64(rapid.IntRange(0, int(id)).Draw(t, "id"))
				isWaiting := false
				for _, w := range m.waiting {
					isWaiting = isWaiting || w.ID == canceledID
				}
				assert.Equal(t, q.Remove(now, canceledID), isWaiting)
				if isWaiting {
					m.remove(t, canceledID)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(m.waiting))
				assert.Equal(t, q.LenThroughRank(shed.RankCount-1), len(m.waiting))
			},
		})
	})
}

func TestWorkspacesShareFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := shed.New(shed.Options{Capacity: 200, Discipline: shed.DisciplineShedOrder})
		waiting := make(map[string]int)
		served := make(map[string]int)
		id := uint64(0)
		push := func(workspace string) {
			id++
			e := shed.Entry{ID: id, Workspace: workspace, ShedOrder: uint32(id * 7919 % 101), ArrivedAt: start}
			_, dropped := q.Push(start, e)
			assert.Assert(t, !dropped)
			waiting[workspace]++
		}
		for _, workspace := range []string{"greedy", "north", "south"} {
			for range rapid.IntRange(1, 50).Draw(t, workspace) {
				push(workspace)
			}
		}
		for len(waiting) == 3 {
			e, ok := q.Pop(start, shed.WaitLimits{}, nil)
			assert.Assert(t, ok)
			served[e.Workspace]++
			waiting[e.Workspace]--
			if waiting[e.Workspace] == 0 {
				delete(waiting, e.Workspace)
			}
			for other := range waiting {
				assert.Assert(t, served[e.Workspace] <= served[other]+1, "%v", served)
			}
			if rapid.Bool().Draw(t, "more") && q.Len() < 150 {
				push("greedy")
			}
		}
	})
}
