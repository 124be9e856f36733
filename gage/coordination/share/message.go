package share

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Ask is what a holder or taker sends to a member.
type Ask struct {
	// Items has at most one item for each slot.
	Items []Item
}

// Item is a question or an announcement about one slot.
type Item struct {
	Shard int
	Slot  int
	// Version is the asker's.
	Version uint64
	// Tell makes the member promise to confirm no older version. Without it
	// the asker only wants to know the newest version told.
	Tell bool
	// Handed tells the receiver that the slot was handed over to it.
	Handed bool
}

// Answer is a member's reply.
type Answer struct {
	// From is the answering process.
	From  gage.Process
	Words []Word
}

// Word is the newest version of one slot that the member was told of.
type Word struct {
	Shard int
	Slot  int
	Known uint64
}

// Peers carries asks to other nodes.
type Peers interface {
	Confirm(ctx context.Context, address string, ask Ask) (Answer, error)
}

// Outgoing is an ask on its way.
type Outgoing struct {
	Address string
	// To is the member in whose place the ask is sent. A later process on its
	// VM may answer.
	To     gage.Process
	SentAt time.Time
	Ask    Ask
}

// Call is a call to the store: a list of all records, or a swap.
type Call struct {
	SentAt time.Time
	List   bool
	// Wanted tells that something hangs on the list's answer.
	Wanted bool
	// Shard, Revision and Record are those of a swap.
	Shard    int
	Revision int64
	Record   Record
	// Notify is told once the swap has taken effect, unless it is "".
	Notify Outgoing
}

// Effects is what the Keeper wants done.
type Effects struct {
	Asks []Outgoing
	// Call is nil when nothing is wanted of the store.
	Call *Call
	// Offers are records for all nodes.
	Offers []gage.Document
}

// Snapshot is what the Keeper lets others see. It is immutable.
type Snapshot struct {
	Slots [gage.ShardCount][]gage.ShareSlot
	Own   [gage.ShardCount][gage.MaxSlotsPerShard]Own
}

// Own is a slot held by this process.
type Own struct {
	// Epoch is 0 when the slot is not held.
	Epoch uint64
	// Until is when the standing lapses.
	Until time.Time
}
