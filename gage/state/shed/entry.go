// Package shed implements the bounded queue of calls that wait for a slot at a
// target. The queue serves calls by importance rank. Within a rank it serves
// nested calls before new ones, and within these it shares the slots fairly
// among workspaces. When the queue is full or calls wait too long, it drops
// calls.
package shed

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Entry is one waiting call.
type Entry struct {
	// ID is unique among the entries of a queue. Later arrivals have higher IDs.
	ID uint64
	// Rank is the importance rank of the call: 0 is the highest importance,
	// len(gage.Importances) the largest value.
	Rank int
	// Nested is true if a service made the call while it served a request that
	// had itself been admitted.
	Nested bool
	// Route names the route of the call.
	Route string
	// Workspace is the workspace whose fair share the call counts against.
	// Calls of routes without a workspace have "" and share as one workspace.
	Workspace string
	// ShedOrder decides which calls are shed first: those with the highest value.
	// All calls that one request leads to have the same value on every hop, so that
	// all hops shed the same requests.
	ShedOrder uint32
	// ArrivedAt is when the call joined the queue.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting for the response. Zero means no
	// deadline.
	Deadline time.Time
	// AdmitBy is the last time at which the call may be admitted. After it, the
	// results of the key, quota and route checks made for the call have expired.
	// Zero means no such limit.
	AdmitBy time.Time
}

// Refusal is an entry that the queue dropped, with the reason.
type Refusal struct {
	Entry  Entry
	Reason gage.Reason
}

// Class returns the priority class of an entry. Class 0 is served first. Each
// rank has two classes: nested calls, then new calls.
func Class(e Entry) int {
	if e.Nested {
		return 2 * e.Rank
	}
	return 2*e.Rank + 1
}

// RankCount is the number of importance ranks, including the one for calls of
// unknown importance.
var RankCount = len(gage.Importances) + 1

// ExpiryReason returns why an entry may no longer be admitted at now, or ReasonNone
// if it still may be. minLatency is the least time in which the target answers a
// call. An entry expires minLatency before its deadline, because it could not be
// answered in time.
func ExpiryReason(now time.Time, e Entry, minLatency time.Duration) gage.Reason {
	if !e.Deadline.IsZero() && !now.Add(minLatency).Before(e.Deadline) {
		return gage.ReasonDeadline
	}
	if !e.AdmitBy.IsZero() && now.After(e.AdmitBy) {
		return gage.ReasonStaleDecision
	}
	return gage.ReasonNone
}
