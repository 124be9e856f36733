package fence

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Takeover is the progress of a new holder towards its lease. It begins once
// the new holder knows that its own record is in force.
type Takeover struct {
	// BegunAt is when the new holder learned that its record was in force.
	BegunAt time.Time
	// Members are the members named by the previous record. The new record names
	// the same members.
	Members []gage.Process
	// Wait is how long the new holder waits after NotifiedAt. It is at least
	// LeaseDuration plus DriftMargin.
	Wait time.Duration
	// NotifiedAt is the time from which the members not yet notified were no
	// majority. It is the zero time as long as they are one.
	NotifiedAt time.Time
	// notified is the set of members that need no further notification.
	notified map[gage.Process]bool
}

// BeginTakeover returns a takeover that begins at now.
func BeginTakeover(now time.Time, members []gage.Process, wait time.Duration) Takeover {
	t := Takeover{BegunAt: now, Members: members, Wait: wait, notified: make(map[gage.Process]bool)}
	t.updateNotifiedAt(now)
	return t
}

// MarkNotified records at now that a process acknowledged the notification of
// member. A process that started later on the member's VM counts as well, since
// the member itself has ended and can confirm no other holder.
func (t *Takeover) MarkNotified(now time.Time, member, acknowledgedBy gage.Process) {
	isMemberOrLater := acknowledgedBy.VM == member.VM && acknowledgedBy.StartedAt >= member.StartedAt
	if !isMemberOrLater || !contains(t.Members, member) {
		return
	}
	t.notified[member] = true
	t.updateNotifiedAt(now)
}

// IsNotified reports whether a member needs no further notification.
func (t *Takeover) IsNotified(member gage.Process) bool {
	return t.notified[member]
}

// updateNotifiedAt sets NotifiedAt once the members that have not been notified
// are no majority.
func (t *Takeover) updateNotifiedAt(now time.Time) {
	enough := (len(t.Members) + 1) / 2
	if t.NotifiedAt.IsZero() && len(t.notified) >= enough {
		t.NotifiedAt = now
	}
}

// Ready reports whether every lease of an earlier holder has expired at now, so
// that the new holder may serve the slot.
func (t *Takeover) Ready(now time.Time) bool {
	if !t.NotifiedAt.IsZero() && now.Sub(t.NotifiedAt) >= t.Wait {
		return true
	}
	return now.Sub(t.BegunAt) >= MaxStoreReadAge+StoreDriftMargin
}
