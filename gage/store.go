package gage

import (
	"context"
	"time"
)

// Entry is a key of the platform's key-value store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store revision at which the key was last changed, or 0
	// if the key does not exist.
	Revision int64
}

// StorePosition is a point in the history of the store.
type StorePosition struct {
	// Era is the number of the history that the store continues. It rises when the store
	// comes back from a copy and has lost changes that it had acknowledged. Their
	// revisions are given out again, so that revisions of different eras cannot be
	// compared. Era is 0 if the store does not state it.
	Era int64
	// Revision is a revision of the store in this era.
	Revision int64
}

// Before reports whether p is earlier than q.
func (p StorePosition) Before(q StorePosition) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Store is the platform's key-value store. Each method call counts as one call
// against the store's rate limits, even a Watch that waits for changes. After
// an error, a write may or may not have taken effect.
type Store interface {
	// Get returns an Entry with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, and the store's
	// current position.
	List(ctx context.Context, prefix string) ([]Entry, StorePosition, error)
	// Swap writes value, attached to lease, if the key still has the given
	// revision; 0 stands for a key that does not exist. Swap returns the entry
	// after the call and whether value was written.
	Swap(ctx context.Context, key string, revision int64, value []byte, lease LeaseID) (Entry, bool, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns false if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) (bool, error)
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls onChange for each change, made after revision, of a key with
	// the prefix. It returns when ctx ends or the connection fails, always with
	// an error. For a deleted key the entry has Revision 0.
	Watch(ctx context.Context, prefix string, revision int64, onChange func(Entry)) error
}

// KeyLister is a Store that can list entries without their values.
type KeyLister interface {
	// ListKeys returns the entries and the position as Store.List does, but
	// with nil values.
	ListKeys(ctx context.Context, prefix string) ([]Entry, StorePosition, error)
}

// The keys of the store and the limit of their values.
const (
	// StoreRoot is the prefix of every key of this system.
	StoreRoot = "/greengagewind/"
	// StoreConfigKey is the key of the operators' configuration file.
	StoreConfigKey = "/greengagewind/config"
	// StoreSharePrefix is followed by a shard number in two digits.
	StoreSharePrefix = "/greengagewind/share/"
	// StoreRendezvousPrefix is followed by a zone and a slot number.
	StoreRendezvousPrefix = "/greengagewind/rendezvous/"
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes = 1_000_000
)

// Document is a store entry that gossip replicates to every node. The revision
// of a key never decreases.
type Document struct {
	Key      string
	Revision int64
	Value    []byte
}

// Documents is this node's replica of the store's documents.
type Documents interface {
	// Latest returns the newest known document of a key, or false if none is
	// known.
	Latest(key string) (Document, bool)
	// Subscribe calls onChange for every known document whose key has the
	// prefix, and later for every newer one. All calls are made on one
	// goroutine and, for each key, in order of revision.
	Subscribe(prefix string, onChange func(Document))
	// Offer adds a document that this node has read from the store or written
	// to it.
	Offer(d Document)
	// ConfirmedAt returns the time at which the replica was last known to be
	// current. This is when this node, or a peer that reported its read, read
	// the store.
	ConfirmedAt() time.Time
}
