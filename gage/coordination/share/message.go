package share

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// ConfirmRequest is sent by the holder of slots, or by a process that is taking
// them over, to one of their confirming members.
type ConfirmRequest struct {
	// Items has at most one item for each slot.
	Items []SlotRequest
}

// SlotRequest is the part of a ConfirmRequest about one slot.
type SlotRequest struct {
	Shard int
	Slot  int
	// Version is the newest version of the slot that the sender knows.
	Version uint64
	// IsTakeover is true if the request notifies the confirming member of
	// Version. From then on the member confirms no older version. If IsTakeover is
	// false, the request only queries the newest version of which the member has
	// been notified.
	IsTakeover bool
	// IsHandover is true if the request notifies the receiver that it is the new
	// holder of the slot.
	IsHandover bool
}

// ConfirmReply is a confirming member's reply to a ConfirmRequest.
type ConfirmReply struct {
	// From is the process that replied.
	From  gage.Process
	Items []SlotReply
}

// SlotReply is the part of a ConfirmReply about one slot.
type SlotReply struct {
	Shard int
	Slot  int
	// NewestVersion is the newest version of which the replying process has been
	// notified.
	NewestVersion uint64
}

// Peers sends requests to other nodes.
type Peers interface {
	Confirm(ctx context.Context, address string, request ConfirmRequest) (ConfirmReply, error)
}

// OutgoingConfirm is a ConfirmRequest to be sent.
type OutgoingConfirm struct {
	Address string
	// To is the confirming member that is to reply. A process that started
	// later on the same VM may reply in its place.
	To      gage.Process
	SentAt  time.Time
	Request ConfirmRequest
}

// StoreCall is a call to the store: a list of all records, or a compare-and-swap
// of one record.
type StoreCall struct {
	SentAt time.Time
	IsList bool
	// IsRequested is true for a list that is needed immediately, and false for a
	// periodic one. A requested list is retried after an error.
	IsRequested bool
	// Shard, Revision and Record are the arguments of a swap. Revision is the
	// revision of the record to be replaced, or 0 to create the record.
	Shard    int
	Revision int64
	Record   Record
	// HandoverNotice is sent once the swap has taken effect, unless its Address
	// is empty.
	HandoverNotice OutgoingConfirm
}

// Effects are the actions that the Keeper requests from its caller.
type Effects struct {
	Requests []OutgoingConfirm
	// StoreCall is nil when no call is due.
	StoreCall *StoreCall
	// Offers are records to be distributed to all nodes by gossip.
	Offers []gage.Document
}

// Snapshot is the Keeper's published state. It is immutable.
type Snapshot struct {
	Slots  [gage.ShardCount][]gage.ShareSlot
	Leases [gage.ShardCount][gage.MaxSlotsPerShard]SlotLease
}

// SlotLease is this process's lease on one slot.
type SlotLease struct {
	// Epoch is 0 when this process has no lease on the slot.
	Epoch uint64
	// ExpiresAt is when the lease expires unless it is renewed.
	ExpiresAt time.Time
}
