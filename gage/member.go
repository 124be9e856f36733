package gage

import "time"

// Member is the membership record of one node, as spread by gossip.
type Member struct {
	// VM is the name of the virtual machine, unique in the fleet.
	VM     string
	Zone   string
	Region string
	// PeerAddress is the host:port of the node's gRPC server.
	PeerAddress string
	// OperatorAddress is the host:port of the node's operators' HTTP server.
	OperatorAddress string
	// Incarnation increases with each start of the node and each time the
	// node refutes a suspicion.
	Incarnation uint64
	// StartedAt is the Unix time in milliseconds at which the process
	// started. Together with VM it identifies the process.
	StartedAt int64
	Phase     MemberPhase
	// Version increases with each change of Targets while the process runs.
	Version uint64
	// Generation is the generation of the node's active configuration, as last
	// received from the node: in a large fleet it may be minutes old. It never
	// decreases while the process runs.
	Generation int64
	// Targets are the back ends on the node's VM, at most MaxTargetsPerVM.
	Targets []TargetRecord
}

// MaxTargetsPerVM is the maximum number of targets that one node serves.
const MaxTargetsPerVM = 8

// TargetRecord is one announced back end.
type TargetRecord struct {
	Name    string
	Service string
	Phase   TargetPhase
	// Incarnation increases with each start of the target. A target with a new
	// incarnation starts cold.
	Incarnation uint64
	// CapacityHint is the concurrency that the target says it supports. It may
	// be wrong.
	CapacityHint int
	// ColdUntil is the Unix time in milliseconds at which the cold start ends.
	// It is for display only.
	ColdUntil int64
}

// Announcement is the registration that a target sends to the node on its VM.
type Announcement struct {
	Name    string
	Service string
	// Address is the host:port at which the target accepts requests.
	Address      string
	Incarnation  uint64
	CapacityHint int
	// TTL is how long the announcement is valid unless it is repeated.
	TTL time.Duration
}

// Announcer registers the targets on the node's VM. A result other than
// OutcomeRan refuses the request.
type Announcer interface {
	Announce(now time.Time, a Announcement) Result
	Drain(now time.Time, name string) Result
	Leave(now time.Time, name string) Result
}

// Membership is this node's view of the fleet.
type Membership interface {
	// Members returns a snapshot that the caller must not modify.
	Members() []Member
	// Self returns this node's own record.
	Self() Member
	// SetTargets replaces the targets in this node's own record.
	SetTargets(targets []TargetRecord)
	// SetGeneration sets the generation of the active configuration in this
	// node's own record.
	SetGeneration(generation int64)
}
