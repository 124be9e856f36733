package share

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// ConfirmRequest is what a holder or taker sends to a member.
type ConfirmRequest struct {
	// Items has at most one item for each slot.
	Items []SlotRequest
}

// SlotRequest is a question or an announcement about one slot.
type SlotRequest struct {
	Shard int
	Slot  int
	// Version is the asker's.
	Version uint64
	// Tell makes the member promise to confirm no older version. Without it
	// the asker only wants to know the newest version told.
	IsTakeover bool
	// Handed tells the receiver that the slot was handed over to it.
	IsHandover bool
}

// ConfirmReply is a member's reply.
type ConfirmReply struct {
	// From is the answering process.
	From  gage.Process
	Items []SlotReply
}

// SlotReply is the newest version of one slot that the member was told of.
type SlotReply struct {
	Shard         int
	Slot          int
	NewestVersion uint64
}

// Peers carries asks to other nodes.
type Peers interface {
	Confirm(ctx context.Context, address string, ask ConfirmRequest) (ConfirmReply, error)
}

// OutgoingConfirm is an ask on its way.
type OutgoingConfirm struct {
	Address string
	// To is the member in whose place the ask is sent. A later process on its
	// VM may answer.
	To      gage.Process
	SentAt  time.Time
	Request ConfirmRequest
}

// StoreCall is a call to the store: a list of all records, or a swap.
type StoreCall struct {
	SentAt time.Time
	IsList bool
	// Wanted tells that something hangs on the list's answer.
	IsRequested bool
	// Shard, Revision and Record are those of a swap.
	Shard    int
	Revision int64
	Record   Record
	// Notify is told once the swap has taken effect, unless it is "".
	HandoverNotice OutgoingConfirm
}

// Effects is what the Keeper wants done.
type Effects struct {
	Requests []OutgoingConfirm
	// Call is nil when nothing is wanted of the store.
	StoreCall *StoreCall
	// Offers are records for all nodes.
	Offers []gage.Document
}

// Snapshot is what the Keeper lets others see. It is immutable.
type Snapshot struct {
	Slots  [gage.ShareShards][]gage.ShareSlot
	Leases [gage.ShareShards][gage.ShareSlots]SlotLease
}

// SlotLease is a slot held by this process.
type SlotLease struct {
	// Epoch is 0 when the slot is not held.
	Epoch uint64
	// Until is when the standing lapses.
	ExpiresAt time.Time
}
