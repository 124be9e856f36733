package gage

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

// TargetState is the state of a target that the node on its VM reports to the
// other nodes.
type TargetState struct {
	// ID identifies one lifetime of the target.
	ID      string
	Service string
	Phase   TargetPhase
	// ColdRemaining is how long the target stays cold, counted from when the
	// state was reported.
	ColdRemaining time.Duration
	// ColdRate is the target's rate limit while it is cold, in requests per
	// second.
	ColdRate float64
	// Limit is how many requests the target is expected to run at a time when all its
	// capacity is used, at least 1.
	Limit int
	// InFlight is the number of requests that run at the target.
	InFlight int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Pressure is the moving average of the fraction of requests that had to
	// wait or were refused, in [0, 1].
	Pressure float64
	// MakesCalls is set if the target has recently made nested calls.
	MakesCalls bool
	// StartedAt is the Unix time in milliseconds at which the target process started, 0
	// if its node does not know it.
	StartedAt int64
}

// NodeState is the state that one node reports to the others.
type NodeState struct {
	VM   string
	Zone string
	// Address is the host:port at which the node accepts forwarded requests.
	Address string
	// StartedAt is the Unix time in milliseconds at which the process started.
	StartedAt int64
	// Sequence increases with each state that the process reports.
	Sequence uint64
	// Age is how long ago the node reported the state. It is 0 in a state that
	// comes directly from the node.
	Age time.Duration
	// Leaving is set if the node is shutting down and accepts no new work.
	Leaving bool
	// Target is the back end on the node's VM. Its ID is "" if no target there
	// can take requests.
	Target TargetState
	// Era and Revision are the position of the store at the last change of the
	// operators' documents that the node holds. Revision is 0 if there are none. Nodes of
	// earlier versions do not state the era.
	Era, Revision int64
	// DocumentVersion is the highest version of one of these documents.
	DocumentVersion int64
	// ConfirmedAge is how long ago the documents were last confirmed to be
	// current. It is negative if they never were.
	ConfirmedAge time.Duration
	// FleetSize is the number of nodes that this node found when it last listed
	// the nodes in the store, or 0 if it has not listed them since it started.
	FleetSize int
	// Downstream lists, by route, the services further down the call chain
	// whose overload recently made requests of the route fail.
	Downstream map[string][]string
}

// Packet is the content of one datagram between nodes.
type Packet struct {
	// States are the states of the sender and of nodes for which it relays. Downstream
	// is left out for nodes that are not in the receiver's zone.
	States []NodeState
	// Loads update states that the receiver has.
	Loads []LoadUpdate
	// Zones are summaries of zones other than the receiver's.
	Zones []ZoneSummary
	// Request and Grant are nil in packets that have none.
	Request *TokenRequest
	Grant   *TokenGrant
}

// LoadUpdate is a short form of a NodeState of which only the load has changed.
type LoadUpdate struct {
	// Fingerprint identifies the state: it is NodeState.Fingerprint.
	Fingerprint uint32
	// The other fields replace those of the state and its target.
	Sequence uint64
	Age      time.Duration
	InFlight int
	Queued   int
	Pressure float64
}

// Fingerprint returns a hash of the fields of a state that other nodes use, except
// those that change with every report: the fields of LoadUpdate, the remaining cold
// time, and what the node knows of the operators' documents. Target.StartedAt is left out,
// since nodes of earlier versions do not know it.
func (s *NodeState) Fingerprint() uint32 {
	h := fnv.New32a()
	t := &s.Target
	_, _ = fmt.Fprintf(h, "%q %q %q %d %t %d %q %q %q %t %g %d %t", s.VM, s.Zone, s.Address, s.StartedAt, s.Leaving, s.FleetSize,
		t.ID, t.Service, t.Phase, t.ColdRemaining > 0, t.ColdRate, t.Limit, t.MakesCalls)
	return h.Sum32()
}

// ZoneSummary is what the nodes of one zone have observed together.
type ZoneSummary struct {
	Zone string
	// Age is how long ago the summary was made.
	Age time.Duration
	// Downstream combines NodeState.Downstream of the zone's nodes.
	Downstream map[string][]string
}

// Poller is a Store whose changes are read by long polling.
type Poller interface {
	Store
	// Poll returns the changes, made after revision, of the keys that have the
	// prefix. It also returns the position up to which the changes are
	// complete. It returns as soon as there is a change, or after wait if there
	// is none. An entry with a Revision and a nil Value stands for a deleted
	// key. The error is ErrCompacted if the store does not have the changes
	// after revision. Changes of another era than that of revision are useless:
	// the caller must read the current state instead.
	Poll(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Entry, StorePosition, error)
	// Put writes a value unconditionally.
	Put(ctx context.Context, key string, value []byte) error
	// Delete removes a key. Removing a key that does not exist is no error.
	Delete(ctx context.Context, key string) error
}

// StoreError is an error reported by the store.
type StoreError string

// Error returns the message.
func (e StoreError) Error() string { return string(e) }

// ErrCompacted is returned by Poll if the store no longer has the requested
// changes. The caller must read the current state instead.
const ErrCompacted StoreError = "the store does not have the changes after this revision"
