package gage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The dimensions of the share table, which assigns keys to processes: a key
// belongs to a shard, and each slot of a shard is held by one process.
const (
	// ShardCount is the number of shards.
	ShardCount = 16
	// MaxSlotsPerShard is the maximum number of slots of a shard.
	MaxSlotsPerShard = 3
)

// Process identifies one process of the node software on a VM. A restarted
// node is a new process.
type Process struct {
	VM string
	// StartedAt is the Unix time in milliseconds at which the process started.
	StartedAt int64
}

// ShareSlot is one slot of a shard as last known to this node.
type ShareSlot struct {
	Shard int
	// Slot is below MaxSlotsPerShard.
	Slot int
	// Epoch increases by one with each change of the holder; 0 means that the
	// slot has never had a holder.
	Epoch uint64
	// Holder is the process that may serve the slot at Epoch.
	Holder Process
	Zone   string
	// PeerAddress is the host:port of the holder's gRPC server, or "" if the
	// holder is not in this node's membership.
	PeerAddress string
}

// Shares reports which processes hold the slots of the shards.
type Shares interface {
	// Slots returns the known slots of a shard in order of Slot. The caller
	// must not modify them.
	Slots(shard int) []ShareSlot
	// HeldEpoch returns the epoch at which this process holds a slot. Ok says
	// whether the process may serve the slot at now. At no moment of real time
	// may two processes serve one slot: a process may serve it at a newer
	// epoch only after every process with an older epoch has lost the right.
	HeldEpoch(shard, slot int, now time.Time) (epoch uint64, ok bool)
}

// ShardOf returns the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}
