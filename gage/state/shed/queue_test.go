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

// oracle is a plain list of what must wait in a queue.
type oracle struct {
	options shed.Options
	waiting []shed.Entry
	// taken counts, for each class and workspace, the entries taken since one
	// of the class's workspaces last began or ceased to wait.
	taken map[string]int
}

func laneOf(e shed.Entry) string {
	return fmt.Sprintf("%d/%s", shed.Class(e), e.Workspace)
}

func (o *oracle) lane(e shed.Entry) []shed.Entry {
	var lane []shed.Entry
	for _, w := range o.waiting {
		if laneOf(w) == laneOf(e) {
			lane = append(lane, w)
		}
	}
	return lane
}

func (o *oracle) add(e shed.Entry) {
	if len(o.lane(e)) == 0 {
		o.forget(e)
	}
	o.waiting = append(o.waiting, e)
}

func (o *oracle) remove(t *rapid.T, id uint64) {
	for i, w := range o.waiting {
		if w.ID != id {
			continue
		}
		o.waiting = append(o.waiting[:i:i], o.waiting[i+1:]...)
		if len(o.lane(w)) == 0 {
			o.forget(w)
		}
		return
	}
	t.Fatalf("entry %d does not wait", id)
}

// forget restarts the counts of a class.
func (o *oracle) forget(e shed.Entry) {
	prefix := fmt.Sprintf("%d/", shed.Class(e))
	for lane := range o.taken {
		if len(lane) >= len(prefix) && lane[:len(prefix)] == prefix {
			delete(o.taken, lane)
		}
	}
}

// checkNext holds that e goes before all that wait.
func (o *oracle) checkNext(t *rapid.T, e shed.Entry) {
	for _, w := range o.waiting {
		if shed.Class(w) < shed.Class(e) {
			t.Fatalf("%+v was taken before %+v", e, w)
		}
		if laneOf(w) == laneOf(e) && o.before(w, e) {
			t.Fatalf("%+v was taken out of order before %+v", e, w)
		}
	}
}

func (o *oracle) before(a, b shed.Entry) bool {
	switch o.options.Discipline {
	case shed.DisciplineNewest:
		return a.ID > b.ID
	case shed.DisciplineOrder:
		return a.ShedOrder < b.ShedOrder || a.ShedOrder == b.ShedOrder && a.ID < b.ID
	default:
		return a.ID < b.ID
	}
}

// checkFair holds that of the workspaces that waited all along, none was
// served more than one entry ahead of another, or two while earlier service
// is made up for.
func (o *oracle) checkFair(t *rapid.T, e shed.Entry) {
	o.taken[laneOf(e)]++
	for _, w := range o.waiting {
		if shed.Class(w) != shed.Class(e) {
			continue
		}
		if o.taken[laneOf(e)] > o.taken[laneOf(w)]+2 {
			t.Fatalf("%s was served %d times and %s %d times", laneOf(e), o.taken[laneOf(e)], laneOf(w), o.taken[laneOf(w)])
		}
	}
}

// checkDropped holds that a full queue gave up the right entry.
func (o *oracle) checkDropped(t *rapid.T, dropped, newcomer shed.Entry) {
	if shed.Class(dropped) < shed.Class(newcomer) {
		t.Fatalf("%+v was dropped for %+v", dropped, newcomer)
	}
	for _, w := range o.waiting {
		if shed.Class(w) > shed.Class(dropped) {
			t.Fatalf("%+v was dropped while %+v waits", dropped, w)
		}
	}
	for _, w := range o.waiting {
		if shed.Class(w) == shed.Class(dropped) && len(o.lane(w)) > len(o.lane(dropped))+2 {
			t.Fatalf("%+v was dropped while the lane of %+v is longer", dropped, w)
		}
	}
}

func drawEntry(t *rapid.T, id uint64, now time.Time) shed.Entry {
	e := shed.Entry{
		ID:        id,
		Rank:      rapid.IntRange(0, shed.Ranks-1).Draw(t, "rank"),
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

// checkReason holds that an entry was refused for a cause that stands.
func checkReason(t *rapid.T, now time.Time, p shed.Patience, r shed.Refusal) {
	holds := false
	switch r.Reason {
	case gage.ReasonDeadline:
		holds = !r.Entry.Deadline.IsZero() && !now.Add(p.Fastest).Before(r.Entry.Deadline)
	case gage.ReasonStaleDecision:
		holds = !r.Entry.AdmitBy.IsZero() && now.After(r.Entry.AdmitBy)
	case gage.ReasonOverload:
		holds = now.Sub(r.Entry.ArrivedAt) > p.Short
	}
	if !holds {
		t.Fatalf("%+v was refused at %v for %s", r.Entry, now.Sub(start), r.Reason)
	}
}

func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := shed.Options{
			Capacity: rapid.IntRange(1, 12).Draw(t, "capacity"),
			Discipline: rapid.SampledFrom([]shed.Discipline{
				shed.DisciplineOldest, shed.DisciplineNewest, shed.DisciplineOrder,
			}).Draw(t, "discipline"),
		}
		patience := shed.Patience{Long: 100 * time.Millisecond, Short: 20 * time.Millisecond, Fastest: 5 * time.Millisecond}
		q := shed.New(options)
		o := &oracle{options: options, taken: make(map[string]int)}
		now, id := start, uint64(0)
		refuse := func(r shed.Refusal) {
			checkReason(t, now, patience, r)
			o.remove(t, r.Entry.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				e := drawEntry(t, id, now)
				full := len(o.waiting) == options.Capacity
				dropped, ok := q.Push(now, e)
				assert.Equal(t, ok, full)
				o.add(e)
				if ok {
					assert.Equal(t, dropped.Reason, gage.ReasonQueueFull)
					o.remove(t, dropped.Entry.ID)
					o.checkDropped(t, dropped.Entry, e)
				}
			},
			"pop": func(t *rapid.T) {
				e, ok := q.Pop(now, patience, refuse)
				assert.Equal(t, ok, len(o.waiting) > 0)
				if !ok {
					return
				}
				assert.Equal(t, shed.ExpiryReason(now, e, patience.Fastest), gage.ReasonNone)
				o.checkNext(t, e)
				o.checkFair(t, e)
				o.remove(t, e.ID)
			},
			"expire": func(t *rapid.T) {
				q.Expire(now, patience, refuse)
				for _, w := range o.waiting {
					assert.Equal(t, shed.ExpiryReason(now, w, patience.Fastest), gage.ReasonNone)
					assert.Assert(t, now.Sub(w.ArrivedAt) <= patience.Long)
				}
			},
			"cancel": func(t *rapid.T) {
				gone := uint64(rapid.IntRange(0, int(id)).Draw(t, "id"))
				waits := false
				for _, w := range o.waiting {
					waits = waits || w.ID == gone
				}
				assert.Equal(t, q.Remove(now, gone), waits)
				if waits {
					o.remove(t, gone)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(o.waiting))
				assert.Equal(t, q.Ahead(shed.Ranks-1), len(o.waiting))
			},
		})
	})
}

func TestWorkspacesShareFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := shed.New(shed.Options{Capacity: 200, Discipline: shed.DisciplineOrder})
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
			e, ok := q.Pop(start, shed.Patience{}, nil)
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
