package dedup

import (
	"context"
	"errors"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// Status is a node's answer to a message of duplicate suppression.
type Status string

// The statuses.
const (
	// StatusOK means done; for a claim, that its call may run.
	StatusOK Status = "OK"
	// StatusNotHolder means that the node does not hold the slot at present.
	StatusNotHolder Status = "NotHolder"
	// StatusStale means that the sender's epoch or record is not the newest.
	StatusStale Status = "Stale"
	// StatusFull means that the table takes no more keys.
	StatusFull Status = "Full"
	// StatusNoWitness means that no witness recorded the claim.
	StatusNoWitness Status = "NoWitness"
	// StatusNotCovered means that claims of the last table.Retention may be
	// missing.
	StatusNotCovered Status = "NotCovered"
	// StatusRunning means that another call holds the key.
	StatusRunning Status = "Running"
	// StatusRan means that another call with the key ran.
	StatusRan Status = "Ran"
	// StatusUnknown means that another call with the key may have run.
	StatusUnknown Status = "Unknown"
)

// ClaimRequest asks the home of a key for the right to run a call.
type ClaimRequest struct {
	Shard int
	Key   table.Key
	// Request names the call. Its entry node sends it again when the answer
	// was lost, and never runs the call without an answer of StatusOK.
	Request string
}

// ClaimReply is the home's answer.
type ClaimReply struct {
	Status Status
	// Answer is kept for StatusRan, or has Status 0.
	Answer gage.Result
}

// RecordRequest asks a witness to record a claim.
type RecordRequest struct {
	Shard int
	// Slot is the witness's.
	Slot int
	// HomeEpoch is that of the home that sends.
	HomeEpoch uint64
	Record    table.Record
}

// RecordReply is the witness's answer. With StatusOK the record was made
// while the witness was in standing at Epoch.
type RecordReply struct {
	Status Status
	Epoch  uint64
}

// SettleRequest tells what became of a call that holds a key.
type SettleRequest struct {
	Shard   int
	Slot    int
	Key     table.Key
	Request string
	Outcome gage.Outcome
	// Answer is sent to the home only.
	Answer gage.Result
}

// SettleReply is the answer to a SettleRequest.
type SettleReply struct {
	Status Status
}

// PageRequest asks for records of a slot's table.
type PageRequest struct {
	Shard int
	Slot  int
	// RequesterSlot and RequesterEpoch are those of the process that asks.
	RequesterSlot  int
	RequesterEpoch uint64
	// After is the Next of the page before, or 0.
	After uint64
}

// PageReply holds up to pageRecords records.
type PageReply struct {
	Status Status
	Epoch  uint64
	// CoveredSince is the start of the time that the table covers; the zero time is
	// the beginning.
	CoveredSince time.Time
	Records      []table.Record
	Next         uint64
	IsLast       bool
}

// ErrNotSent wraps the error of a message of which no byte left the node.
var ErrNotSent = errors.New("message was not sent")

// Peers carries messages to the node at a peer address. An error that is not
// ErrNotSent means that the message may have arrived.
type Peers interface {
	Claim(ctx context.Context, address string, r ClaimRequest) (ClaimReply, error)
	Record(ctx context.Context, address string, r RecordRequest) (RecordReply, error)
	Settle(ctx context.Context, address string, r SettleRequest) (SettleReply, error)
	Page(ctx context.Context, address string, r PageRequest) (PageReply, error)
}
