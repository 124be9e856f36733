// Package fence holds the state machines that keep two processes from serving
// one slot at the same time: a holder's standing, a taker's wait, and a
// member's promises.
//
// A holder may serve while its standing lasts. The standing rests on evidence
// that the slot's record in the store still named it when the evidence was
// asked for: its own read of the store, or the word of a majority of the
// record's members that none of them was told of a newer version. A taker
// first changes the record, then tells so many members that no majority is
// left untold, and only then waits until every standing asked for before has
// lapsed.
package fence

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The lengths of the fence.
const (
	// LeaseDuration is how long a piece of evidence carries a holder.
	LeaseDuration = 3 * time.Second
	// MaxStoreReadAge is how long a holder goes on without having read the
	// store itself, however many members confirm it. It frees a slot whose
	// holder and most members are gone for good.
	MaxStoreReadAge = time.Hour
	// DriftMargin is what a taker waits beyond Validity, since clocks drift.
	DriftMargin = 100 * time.Millisecond
	// StoreDriftMargin is the same beyond StoreValidity.
	StoreDriftMargin = 30 * time.Second
)

// Lease is a holder's evidence that it may serve one slot. All times are
// times at which the evidence was asked for, not when it came.
type Lease struct {
	// Members are the processes that the record in force names.
	Members []gage.Process
	// HasPending tells that a write of the holder that names other members,
	// Pending, may or may not have taken effect. A taker may then have told
	// either, so that a majority of both is needed.
	HasPending bool
	PendingMembers    []gage.Process
	// StoreReadAt is when the holder last asked the store for a record that was
	// then its own.
	StoreReadAt time.Time
	// ConfirmedAt holds when each member was last asked and confirmed.
	ConfirmedAt map[gage.Process]time.Time
}

// Confirm notes that a member, asked at askedAt, knew of no newer version.
func (s *Lease) Confirm(member gage.Process, askedAt time.Time) {
	if !contains(s.Members, member) && !contains(s.PendingMembers, member) {
		return
	}
	if s.ConfirmedAt == nil {
		s.ConfirmedAt = make(map[gage.Process]time.Time)
	}
	if askedAt.After(s.ConfirmedAt[member]) {
		s.ConfirmedAt[member] = askedAt
	}
}

// ConfirmByStore notes that the store, asked at askedAt, showed the record in force with
// these members, and that no write of the holder is outstanding.
func (s *Lease) ConfirmByStore(askedAt time.Time) {
	if askedAt.After(s.StoreReadAt) {
		s.StoreReadAt = askedAt
	}
}

// ReplaceMembers installs the members of a newer record of the same holder.
func (s *Lease) ReplaceMembers(members []gage.Process) {
	s.Members = members
	s.HasPending = false
	s.PendingMembers = nil
	for member := range s.ConfirmedAt {
		if !contains(members, member) {
			delete(s.ConfirmedAt, member)
		}
	}
}

// MajorityAt returns the latest time since which a majority has confirmed, or
// the zero time.
func (s *Lease) MajorityAt() time.Time {
	at := s.majorityOf(s.Members)
	if !s.HasPending {
		return at
	}
	if pending := s.majorityOf(s.PendingMembers); pending.Before(at) {
		return pending
	}
	return at
}

func (s *Lease) majorityOf(members []gage.Process) time.Time {
	var times []time.Time
	for _, member := range members {
		if at, ok := s.ConfirmedAt[member]; ok {
			times = append(times, at)
		}
	}
	majority := len(members)/2 + 1
	if len(times) < majority {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[majority-1]
}

// ExpiresAt returns when the standing lapses if no more evidence comes.
func (s *Lease) ExpiresAt() time.Time {
	if s.StoreReadAt.IsZero() {
		return time.Time{}
	}
	latest := s.StoreReadAt
	if at := s.MajorityAt(); at.After(latest) {
		latest = at
	}
	until := latest.Add(LeaseDuration)
	if limit := s.StoreReadAt.Add(MaxStoreReadAge); limit.Before(until) {
		return limit
	}
	return until
}

func contains(processes []gage.Process, p gage.Process) bool {
	for _, known := range processes {
		if known == p {
			return true
		}
	}
	return false
}
