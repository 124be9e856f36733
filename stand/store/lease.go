package store

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// expiryInterval is how often leases are checked for expiry in the background.
// Range, Txn and KeepAlive calls check as well, so the interval only delays the
// events that watches receive.
const expiryInterval = 50 * time.Millisecond

// grant creates a lease. The TTL is at least 1 s; the id is generated if the
// requested id is 0 or in use.
func (t *table) grant(now time.Time, r kvmsg.GrantRequest) kvmsg.GrantResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	ttl := time.Duration(max(r.TTL, 1)) * time.Second
	id := r.ID
	for id == 0 || t.leases[id] != nil {
		id = now.UnixNano() + int64(len(t.leases))
	}
	t.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl)}
	return kvmsg.GrantResponse{Header: t.header(), ID: id, TTL: int64(ttl / time.Second)}
}

// keepAlive renews a lease for its TTL. The response has TTL 0 if the lease doesn't
// exist.
func (t *table) keepAlive(now time.Time, r kvmsg.KeepAliveRequest) kvmsg.KeepAliveResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	answer := kvmsg.KeepAliveResponse{Header: t.header(), ID: r.ID}
	if l := t.leases[r.ID]; l != nil {
		l.expires = now.Add(l.ttl)
		answer.TTL = int64(l.ttl / time.Second)
	}
	return answer
}

// revoke deletes a lease and its keys. It returns false if the lease doesn't exist.
func (t *table) revoke(id int64) (kvmsg.RevokeResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases[id] == nil {
		return kvmsg.RevokeResponse{}, false
	}
	t.deleteLease(id)
	return kvmsg.RevokeResponse{Header: t.header()}, true
}

// expireLeases deletes the leases that have expired, and their keys.
func (t *table) expireLeases(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
}

// expireLocked is expireLeases for callers that hold mu.
func (t *table) expireLocked(now time.Time) {
	for id, l := range t.leases {
		if !now.Before(l.expires) {
			t.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and, at one new revision, its keys.
func (t *table) deleteLease(id int64) {
	delete(t.leases, id)
	var events []kvmsg.Event
	for key, kv := range t.keys {
		if kv.Lease != id {
			continue
		}
		delete(t.keys, key)
		deleted := kvmsg.KeyValue{Key: kv.Key, ModRevision: t.revision + 1}
		events = append(events, kvmsg.Event{Type: kvmsg.EventDelete, Kv: deleted})
	}
	slices.SortFunc(events, func(a, b kvmsg.Event) int {
		return slices.Compare(a.Kv.Key, b.Kv.Key)
	})
	t.commit(events)
}

// eventsSince returns the events with revision first or later and the current
// header. The bool is false if events at or after first have been compacted. The
// channel is closed at the next change.
func (t *table) eventsSince(first int64) ([]kvmsg.Event, bool, kvmsg.Header, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, _ := slices.BinarySearchFunc(t.history, first, func(e kvmsg.Event, want int64) int {
		return int(e.Kv.ModRevision - want)
	})
	return t.history[at:], first > t.compacted, t.header(), t.changed
}
