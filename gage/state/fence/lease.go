// Package fence holds the state machines that keep two processes from serving
// one slot at the same time. For each slot, a record in the store names the
// holder, which is a process, and the members, which are processes that confirm
// the holder.
//
// A holder may serve a slot only while it has a Lease. It renews the lease with
// evidence that the record still named it as the holder when the evidence was
// requested. The evidence is either its own read of the store or confirmations
// from a majority of the members. A member confirms that it knows of no newer
// version of the record.
//
// A new holder first changes the record in the store. It then does a Takeover.
// It notifies members of the new version until the remaining ones are no
// majority, so that the previous holder can no longer renew its lease by
// confirmations. It then waits until every lease renewed earlier has expired.
// The Promises of a member are the versions of which it has been notified.
package fence

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The durations of leases and takeovers.
const (
	// LeaseDuration is how long a lease lasts from the time at which its newest
	// evidence was requested.
	LeaseDuration = 3 * time.Second
	// MaxStoreReadAge is how long a lease lasts at most after the holder's last
	// read of the store, whatever the members confirm. It bounds the time until
	// a slot can be taken over if its holder and most of its members are lost.
	MaxStoreReadAge = time.Hour
	// DriftMargin is added to LeaseDuration in a takeover, since the clocks of
	// two nodes run at different speeds.
	DriftMargin = 100 * time.Millisecond
	// StoreDriftMargin is added to MaxStoreReadAge for the same reason.
	StoreDriftMargin = 30 * time.Second
)

// Lease is a holder's evidence that it may serve one slot. All its times are
// the times of the requests for the evidence, not of the answers.
type Lease struct {
	// Members are the processes named as members by the last record that is
	// known to be written. See PendingMembers for a later write.
	Members []gage.Process
	// HasPending is true while the holder has written PendingMembers to the
	// record and does not know whether the write took effect. A new holder may
	// have notified the members of either set, so a majority of each set is
	// needed.
	HasPending     bool
	PendingMembers []gage.Process
	// StoreReadAt is when the holder sent its last read of the store that
	// returned its own record.
	StoreReadAt time.Time
	// ConfirmedAt holds, for each member, the time at which the last request
	// that it confirmed was sent.
	ConfirmedAt map[gage.Process]time.Time
}

// Confirm records that a member, asked at askedAt, knew of no newer version.
// Processes that are not members are ignored.
func (l *Lease) Confirm(member gage.Process, askedAt time.Time) {
	if !contains(l.Members, member) && !contains(l.PendingMembers, member) {
		return
	}
	if l.ConfirmedAt == nil {
		l.ConfirmedAt = make(map[gage.Process]time.Time)
	}
	if askedAt.After(l.ConfirmedAt[member]) {
		l.ConfirmedAt[member] = askedAt
	}
}

// ConfirmByStore records that the store, asked at askedAt, returned a record that
// names this process as the holder.
func (l *Lease) ConfirmByStore(askedAt time.Time) {
	if askedAt.After(l.StoreReadAt) {
		l.StoreReadAt = askedAt
	}
}

// ReplaceMembers sets the members of a newer record of the same holder.
func (l *Lease) ReplaceMembers(members []gage.Process) {
	l.Members = members
	l.HasPending = false
	l.PendingMembers = nil
	for member := range l.ConfirmedAt {
		if !contains(members, member) {
			delete(l.ConfirmedAt, member)
		}
	}
}

// MajorityAt returns the latest time t such that a majority of the members has
// confirmed the holder at t or later. While HasPending is true, this must hold for
// both sets of members. MajorityAt returns the zero time if there is no such t.
func (l *Lease) MajorityAt() time.Time {
	at := l.majorityOf(l.Members)
	if !l.HasPending {
		return at
	}
	if pending := l.majorityOf(l.PendingMembers); pending.Before(at) {
		return pending
	}
	return at
}

func (l *Lease) majorityOf(members []gage.Process) time.Time {
	var times []time.Time
	for _, member := range members {
		if at, ok := l.ConfirmedAt[member]; ok {
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

// ExpiresAt returns when the lease expires unless it is renewed, or the zero
// time when the holder has never read the store.
func (l *Lease) ExpiresAt() time.Time {
	if l.StoreReadAt.IsZero() {
		return time.Time{}
	}
	latest := l.StoreReadAt
	if at := l.MajorityAt(); at.After(latest) {
		latest = at
	}
	expiresAt := latest.Add(LeaseDuration)
	if limit := l.StoreReadAt.Add(MaxStoreReadAge); limit.Before(expiresAt) {
		return limit
	}
	return expiresAt
}

func contains(processes []gage.Process, p gage.Process) bool {
	for _, candidate := range processes {
		if candidate == p {
			return true
		}
	}
	return false
}
