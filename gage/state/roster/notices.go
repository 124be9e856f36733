package roster

import (
	"maps"
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Notices is what a target says of itself in a response.
type Notices struct {
	// IsLeaving is true if the target leaves.
	IsLeaving bool
	// RateLimit is the requests per second that the target takes from all nodes
	// together, 0 or more; +Inf if it sets no limit.
	RateLimit float64
}

// processNotices is what the responses of one target process have said.
type processNotices struct {
	// Notices holds the rate limit of the last response, and IsLeaving if any response
	// has said so.
	Notices
	// startedAt is TargetState.StartedAt of the process, 0 while unknown.
	startedAt int64
	heardAt   time.Time
}

// rememberNotices is how long a roster remembers what a target has said.
const rememberNotices = 10 * time.Minute

// TargetSays records the notices in a response of the target process t. Pick does not
// return a target process that leaves, and returns the rate limit of others, even if
// their nodes restart and have not heard of it.
func (r *Roster) TargetSays(now time.Time, t gage.TargetState, n Notices) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetSays(now, t, n)
}

// learnPhase records that a target leaves, if its node says so. The next process of that
// node may not know.
func (r *Roster) learnPhase(now time.Time, t gage.TargetState) {
	if t.ID != "" && t.StartedAt != 0 && t.Phase != gage.TargetServing {
		r.targetSays(now, t, Notices{IsLeaving: true, RateLimit: r.noticesOf(t).RateLimit})
	}
}

// targetSays implements TargetSays. The caller must hold mu.
func (r *Roster) targetSays(now time.Time, t gage.TargetState, n Notices) {
	known, isKnown := r.notices[t.ID]
	if !isKnown && !n.IsLeaving && math.IsInf(n.RateLimit, 1) || t.StartedAt != 0 && t.StartedAt < known.startedAt {
		return
	}
	if !isKnown {
		maps.DeleteFunc(r.notices, func(_ string, n processNotices) bool { return now.Sub(n.heardAt) > rememberNotices })
	}
	n.IsLeaving = n.IsLeaving || known.IsLeaving && known.isOf(t)
	r.notices[t.ID] = processNotices{Notices: n, startedAt: max(known.startedAt, t.StartedAt), heardAt: now}
}

// isOf reports whether the notices are those of a target process. A later process may
// have the same ID.
func (n processNotices) isOf(t gage.TargetState) bool { return t.StartedAt <= n.startedAt }

// learnStart completes what is known of a target process whose start was unknown.
func (r *Roster) learnStart(t gage.TargetState) {
	if n, isKnown := r.notices[t.ID]; isKnown && n.startedAt == 0 {
		n.startedAt = t.StartedAt
		r.notices[t.ID] = n
	}
}

// noticesOf returns what the responses of a target process have said.
func (r *Roster) noticesOf(t gage.TargetState) Notices {
	if n, isKnown := r.notices[t.ID]; isKnown && n.isOf(t) {
		return n.Notices
	}
	return Notices{RateLimit: math.Inf(1)}
}
