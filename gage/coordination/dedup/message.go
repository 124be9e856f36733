package dedup

import (
	"context"
	"errors"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// Status is the result of a message between an entry node, a home and a witness.
type Status string

// The statuses of replies.
const (
	// StatusOK means success. For a claim, the call may run.
	StatusOK Status = "OK"
	// StatusNotHolder means that the node has no valid lease on the slot.
	StatusNotHolder Status = "NotHolder"
	// StatusStale means that the receiver knows a newer epoch or record than the
	// one in the message.
	StatusStale Status = "Stale"
	// StatusFull means that a limit on keys or pending claims has been reached.
	StatusFull Status = "Full"
	// StatusNoWitness means that no witness confirmed recording the claim.
	StatusNoWitness Status = "NoWitness"
	// StatusNotCovered means that the home's table may lack claims of the last
	// table.Retention, so it cannot grant a claim on a key that it lacks.
	StatusNotCovered Status = "NotCovered"
	// StatusRunning means that another call with the key may be running.
	StatusRunning Status = "Running"
	// StatusRan means that another call with the key ran.
	StatusRan Status = "Ran"
	// StatusUnknown means that another call with the key may have run.
	StatusUnknown Status = "Unknown"
)

// ClaimRequest claims a key at its home for one call.
type ClaimRequest struct {
	Shard int
	Key   table.Key
	// Request identifies the attempt of the call. The entry node sends the same
	// claim again when the reply was lost, and runs the call only after a reply
	// of StatusOK.
	Request string
}

// ClaimReply is the home's reply to a ClaimRequest.
type ClaimReply struct {
	Status Status
	// Answer is the stored answer of the call that ran. It is set only for
	// StatusRan. Its Status is 0 if no answer is stored.
	Answer gage.Result
}

// RecordRequest is sent by a home to make a witness record a claim.
type RecordRequest struct {
	Shard int
	// Slot is the slot of the witness.
	Slot int
	// HomeEpoch is the epoch at which the sender holds the home slot.
	HomeEpoch uint64
	Record    table.Record
}

// RecordReply is the witness's reply. StatusOK means that the witness recorded
// the claim while it had a lease with Epoch.
type RecordReply struct {
	Status Status
	Epoch  uint64
}

// SettleRequest carries the outcome of a call that claimed a key.
type SettleRequest struct {
	Shard int
	// Slot is the receiver's slot.
	Slot    int
	Key     table.Key
	Request string
	Outcome gage.Outcome
	// Answer is sent to the home only.
	Answer gage.Result
}

// SettleReply is the reply to a SettleRequest.
type SettleReply struct {
	Status Status
}

// PageRequest requests one page of a slot's table for a new holder of another
// slot of the shard.
type PageRequest struct {
	Shard int
	Slot  int
	// RequesterSlot and RequesterEpoch are the slot that the requester holds and
	// its epoch.
	RequesterSlot  int
	RequesterEpoch uint64
	// After is the Next of the previous page, or 0 for the first page.
	After uint64
}

// PageReply is one page with at most recordsPerPage records.
type PageReply struct {
	Status Status
	Epoch  uint64
	// CoveredSince is the start of the time that the table covers. The zero time
	// means that the table covers all claims ever made.
	CoveredSince time.Time
	Records      []table.Record
	// Next is the PageRequest.After of the next page.
	Next   uint64
	IsLast bool
}

// ErrNotSent is wrapped by the error of a message if none of its bytes was sent.
var ErrNotSent = errors.New("message was not sent")

// Peers sends messages to the node at a peer address. An error that does not wrap
// ErrNotSent means that the message may have arrived.
type Peers interface {
	Claim(ctx context.Context, address string, r ClaimRequest) (ClaimReply, error)
	Record(ctx context.Context, address string, r RecordRequest) (RecordReply, error)
	Settle(ctx context.Context, address string, r SettleRequest) (SettleReply, error)
	Page(ctx context.Context, address string, r PageRequest) (PageReply, error)
}
