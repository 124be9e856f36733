package shed

import (
	"sort"
	"time"
)

// pruneThreshold is the number of workspace queues in a class from which on
// empty ones are removed before another call is queued.
const pruneThreshold = 256

// classQueue holds the waiting calls of one class. It shares the slots fairly
// among workspaces: the workspace with the lowest virtual time is served next.
type classQueue struct {
	// size is the number of entries in all workspace queues.
	size int
	// virtualTime is the virtual time of the workspace served last, before that
	// call was counted.
	virtualTime float64
	// workspaces are sorted by name and may be empty.
	workspaces []*workspaceQueue
}

// find returns the queue of the workspace, or nil, and the index at which it
// is or belongs in workspaces.
func (c *classQueue) find(workspace string) (*workspaceQueue, int) {
	at := sort.Search(len(c.workspaces), func(i int) bool {
		return c.workspaces[i].workspace >= workspace
	})
	if at < len(c.workspaces) && c.workspaces[at].workspace == workspace {
		return c.workspaces[at], at
	}
	return nil, at
}

// queueFor returns the queue of the workspace for an insertion, and adds it if
// it does not exist.
func (c *classQueue) queueFor(now time.Time, workspace string) *workspaceQueue {
	if len(c.workspaces) >= pruneThreshold {
		c.pruneEmpty()
	}
	w, at := c.find(workspace)
	if w == nil {
		w = &workspaceQueue{workspace: workspace}
		c.workspaces = append(c.workspaces, nil)
		copy(c.workspaces[at+1:], c.workspaces[at:])
		c.workspaces[at] = w
	}
	if len(w.entries) == 0 {
		w.lastEmptyAt = now
		w.virtualTime = max(w.virtualTime, c.virtualTime)
	}
	return w
}

func (c *classQueue) pruneEmpty() {
	busy := c.workspaces[:0]
	for _, w := range c.workspaces {
		if len(w.entries) > 0 {
			busy = append(busy, w)
		}
	}
	clear(c.workspaces[len(busy):])
	c.workspaces = busy
}

// next returns the queue with the lowest virtual time, or nil if all are empty.
// Among equals it returns the one whose first entry arrived first.
func (c *classQueue) next() *workspaceQueue {
	var best *workspaceQueue
	for _, w := range c.workspaces {
		if len(w.entries) == 0 {
			continue
		}
		if best == nil || w.before(best) {
			best = w
		}
	}
	return best
}

// charge counts one served call against the workspace.
func (c *classQueue) charge(w *workspaceQueue) {
	c.virtualTime = w.virtualTime
	w.virtualTime++
}

// longest returns the queue with the most entries, or nil if all are empty.
// Among equals it returns the one that is served last.
func (c *classQueue) longest() *workspaceQueue {
	var longest *workspaceQueue
	for _, w := range c.workspaces {
		if len(w.entries) == 0 {
			continue
		}
		if longest == nil || w.longerThan(longest) {
			longest = w
		}
	}
	return longest
}

// evictionSource returns the queue whose last entry is evicted to make room for
// a newcomer of this class, or nil if the newcomer itself is to be refused. It
// is the longest queue if that holds at least two entries more than the
// newcomer's own queue. Otherwise it is the newcomer's own queue if the newcomer
// is served before the last entry there.
func (c *classQueue) evictionSource(newcomer Entry, d Discipline) *workspaceQueue {
	longest := c.longest()
	own, _ := c.find(newcomer.Workspace)
	if own == nil || len(own.entries) == 0 {
		if len(longest.entries) > 1 {
			return longest
		}
		return nil
	}
	if len(longest.entries) > len(own.entries)+1 {
		return longest
	}
	if entryBefore(newcomer, own.entries[len(own.entries)-1], d) {
		return own
	}
	return nil
}

// filter removes the entries for which keep returns false. It calls keep once
// for each entry, in the order of service within each workspace.
func (c *classQueue) filter(now time.Time, keep func(*workspaceQueue, Entry) bool) {
	for _, w := range c.workspaces {
		if len(w.entries) == 0 {
			continue
		}
		kept := w.entries[:0]
		for _, e := range w.entries {
			if keep(w, e) {
				kept = append(kept, e)
			}
		}
		c.size -= len(w.entries) - len(kept)
		w.entries = kept
		w.recordEmpty(now)
	}
}
