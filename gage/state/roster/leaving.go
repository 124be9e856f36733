package roster

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// leavingTarget is a target process that has said that it leaves.
type leavingTarget struct {
	// startedAt is TargetState.StartedAt of the process, 0 while unknown.
	startedAt int64
	toldAt    time.Time
}

// rememberLeaving is how long a roster remembers that a target leaves.
const rememberLeaving = 10 * time.Minute

// TargetLeaves records that a response of a target on a VM has said that it leaves. Pick
// does not return this target process again, even if its node restarts and reports that
// the target accepts requests.
func (r *Roster) TargetLeaves(now time.Time, vm, targetID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[targetID]; known {
		return
	}
	for id, l := range r.leaving {
		if now.Sub(l.toldAt) > rememberLeaving {
			delete(r.leaving, id)
		}
	}
	l := leavingTarget{toldAt: now}
	if p := r.peers[vm]; p != nil && p.Target.ID == targetID {
		l.startedAt = p.Target.StartedAt
	}
	r.leaving[targetID] = l
}

// learnStart completes what is known of a target process that leaves.
func (r *Roster) learnStart(t gage.TargetState) {
	if l, known := r.leaving[t.ID]; known && l.startedAt == 0 {
		l.startedAt = t.StartedAt
		r.leaving[t.ID] = l
	}
}

// isLeaving reports whether a response of the target process has said that it leaves. A
// later process may have the same ID.
func (r *Roster) isLeaving(t gage.TargetState) bool {
	l, known := r.leaving[t.ID]
	return known && t.StartedAt <= l.startedAt
}
