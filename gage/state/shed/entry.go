// Package shed holds the bounded queue of calls that wait for a slot at a
// target. It orders them by importance, then puts work that was admitted
// upstream before new work, then shares fairly among workspaces.
package shed

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Entry is one waiting call.
type Entry struct {
	// ID is unique among the entries of a queue and grows with arrival.
	ID uint64
	// Rank is the importance rank of the call, 0 the highest, at most
	// len(gage.Importances).
	Rank int
	// Nested tells that the call was admitted upstream before.
	Nested bool
	// Route names the route of the call.
	Route string
	// Workspace shares fairly with others; "" is the share of open routes.
	Workspace string
	// ShedOrder is the same for all calls of one request at every hop.
	ShedOrder uint32
	// ArrivedAt is when the call joined the queue.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting, or zero.
	Deadline time.Time
	// AdmitBy is when the decisions behind the call lapse, or zero.
	AdmitBy time.Time
}

// Refusal is an entry that was dropped from the queue, and why.
type Refusal struct {
	Entry  Entry
	Reason gage.Reason
}

// Class is the position of an entry's kind: a lower class goes first. Each
// rank has two classes, nested work and new work.
func Class(e Entry) int {
	if e.Nested {
		return 2 * e.Rank
	}
	return 2*e.Rank + 1
}

// Ranks is how many ranks there are, that of unknown importances included.
var Ranks = len(gage.Importances) + 1

// ExpiryReason returns why an entry may no longer be admitted at now, or
// ReasonNone. A call cannot be answered in less than fastest.
func ExpiryReason(now time.Time, e Entry, fastest time.Duration) gage.Reason {
	if !e.Deadline.IsZero() && !now.Add(fastest).Before(e.Deadline) {
		return gage.ReasonDeadline
	}
	if !e.AdmitBy.IsZero() && now.After(e.AdmitBy) {
		return gage.ReasonStaleDecision
	}
	return gage.ReasonNone
}
