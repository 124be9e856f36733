package gage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The sizes of the share table.
const (
	// ShardCount is how many shards the keys are spread over.
	ShardCount = 16
	// MaxSlotsPerShard is the most slots that one shard has.
	MaxSlotsPerShard = 3
)

// Process names one run of the node on a VM. A restarted node is another
// process.
type Process struct {
	VM string
	// StartedAt is the Unix time in milliseconds at which the process started.
	StartedAt int64
}

// ShareSlot is one slot of a shard as this node last learnt of it.
type ShareSlot struct {
	Shard int
	// Slot is below MaxSlotsPerShard.
	Slot int
	// Epoch grows by one with each change of the holder; 0 means that the
	// slot has never been held.
	Epoch uint64
	// Holder is the process that may serve the slot at Epoch.
	Holder Process
	Zone   string
	// PeerAddress is "" when the holder is not known to the membership.
	PeerAddress string
}

// Shares tells which processes hold the slots of the shards.
type Shares interface {
	// Slots returns the known slots of a shard in order of Slot. The caller
	// must not change them.
	Slots(shard int) []ShareSlot
	// HeldEpoch returns the epoch at which this process holds a slot and
	// whether it may serve it at now. At no moment of true time are two
	// processes in standing for one slot, and a newer epoch comes into
	// standing only after every older one has lost it.
	HeldEpoch(shard, slot int, now time.Time) (epoch uint64, ok bool)
}

// ShardOf returns the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}
