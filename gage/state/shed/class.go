package shed

import (
	"sort"
	"time"
)

// If a class has at least pruneThreshold workspace queues, empty ones are removed
// before another call is queued.
const pruneThreshold = 256

// classQueue holds the waiting calls of one class. It shares the slots fairly
// among workspaces: the workspace with the lowest virtual time is served next.
type classQueue struct {
	// size is the number of entries in all workspace queues.
	size int
	// virtualTime is the virtual time that the workspace served last had before its
	// call was charged.
	virtualTime float64
	// workspaces are sorted by name and may be empty.
	workspaces []*workspaceQueue
}

// find returns the queue of the workspace and its index in workspaces. If there is
// none, it returns nil and the index at which the queue would have to be inserted.
func (c *classQueue) find(workspace string) (*workspaceQueue, int) {
	index := sort.Search(len(c.workspaces), func(i int) bool {
		return c.workspaces[i].workspace >= workspace
	})
	if index < len(c.workspaces) && c.workspaces[index].workspace == workspace {
		return c.workspaces[index], index
	}
	return nil, index
}

// queueFor returns the queue of the workspace, prepared for an insertion. It adds
// the queue if it does not exist.
func (c *classQueue) queueFor(now time.Time, workspace string) *workspaceQueue {
	if len(c.workspaces) >= pruneThreshold {
		c.pruneEmpty()
	}
	w, index := c.find(workspace)
	if w == nil {
		w = &workspaceQueue{workspace: workspace}
		c.workspaces = append(c.workspaces, nil)
		copy(c.workspaces[index+1:], c.workspaces[index:])
		c.workspaces[index] = w
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
// Of queues with equal virtual times, it returns the one whose first entry arrived
// first.
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
// Of queues of equal length, it returns the one that is served last.
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

// evictionSource returns the queue whose last entry is evicted to make room for a
// newcomer of this class. If the longest queue holds at least two entries more than
// the newcomer's own queue, it is the longest one. Otherwise it is the newcomer's
// own queue if the newcomer is served before the last entry there. In all other
// cases evictionSource returns nil, and the newcomer itself is to be refused.
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

// filter removes the entries for which keep returns false. It calls keep once for
// each entry. Entries of one workspace are passed in the order of service.
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
