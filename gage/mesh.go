package gage

import (
	"context"
	"time"
)

// TargetState is what the node beside a target tells the other nodes of it.
type TargetState struct {
	// ID names one lifetime of the target.
	ID      string
	Service string
	Phase   TargetPhase
	// ColdRemaining is how long the target stays cold from when the state was told.
	ColdRemaining time.Duration `msgpack:"Cold"`
	// ColdRate is how many requests a second the target takes while cold.
	ColdRate float64
	// Limit is the concurrency that the node admits, at least 1.
	Limit    int
	InFlight int
	Queued   int
	// Pressure is the moving share of requests that had to wait or were
	// refused, in [0, 1].
	Pressure float64
	// MakesCalls tells that the target makes calls of its own.
	MakesCalls bool `msgpack:"Calls"`
}

// NodeState is what one node tells the others of itself.
type NodeState struct {
	VM   string
	Zone string
	// Address is the host:port at which the node takes forwarded requests.
	Address string
	// Started is the Unix time in milliseconds at which the process started.
	Started int64
	// Sequence grows with each state of one process.
	Sequence uint64
	// Age is how long ago the node told it, 0 when it comes from the node
	// itself.
	Age time.Duration
	// Leaving tells that the node is about to stop and takes no new work.
	Leaving bool
	// Target is the back end beside the node; its ID is "" when there is none.
	Target TargetState
	// Revision is the store's revision of the operators' documents that the
	// node has in force, 0 when it has none.
	Revision int64
	// ConfirmedAge is how long ago the documents were known to be current; it is
	// below 0 when they never were.
	ConfirmedAge time.Duration `msgpack:"Confirmed"`
	// FleetSize is how many nodes the node has listed in the store, 0 when it has
	// not listed them since it started.
	FleetSize int `msgpack:"Fleet"`
	// Demand is the rate, in requests a second, at which callers of this node
	// ask for each workspace, refused requests included.
	Demand map[string]float64
	// Downstream tells which services further down each route was seen to need.
	Downstream map[string][]string `msgpack:"Leads"`
}

// Digest is what a node tells of itself and, as a relay between zones, of
// others.
type Digest struct {
	// States hold no Demand and no Downstream when they are of another zone than
	// that of the nodes told.
	States []NodeState
	// Zones sum up what the nodes of each zone ask for.
	Zones []ZoneDemand
}

// ZoneDemand is what the nodes of one zone ask for together.
type ZoneDemand struct {
	Zone string
	// Age is how long ago it was summed up.
	Age time.Duration
	// Demand is in requests a second by workspace.
	Demand map[string]float64
	// Downstream are those that the zone's nodes have learnt.
	Downstream map[string][]string `msgpack:"Leads"`
}

// Poller is a store whose changes are asked for in bounded calls.
type Poller interface {
	Store
	// Poll returns the changes below prefix after revision as soon as there is
	// one, or none after wait, and the revision up to which it has looked. An
	// entry with a Revision and a nil Value was deleted. ErrCompacted tells
	// that the store has forgotten the changes after revision.
	Poll(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Entry, int64, error)
	// Put writes a value whatever the key holds.
	Put(ctx context.Context, key string, value []byte) error
	// Delete removes a key, also one that does not exist.
	Delete(ctx context.Context, key string) error
}

// StoreError is a refusal or failure of the store.
type StoreError string

// Error returns the cause.
func (e StoreError) Error() string { return string(e) }

// ErrCompacted is returned by Poll when the changes asked for are no longer
// kept; the caller reads the present state instead.
const ErrCompacted StoreError = "the store no longer keeps the changes after this revision"
