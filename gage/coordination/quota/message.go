package quota

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// TakeRequest asks a holder for tokens of one workspace.
type TakeRequest struct {
	Slot      int
	Workspace string
	// Count is at least 1 and at most MaxCount.
	Count int
}

// TakeStatus is how a holder meets an ask.
type TakeStatus string

// The statuses.
const (
	// TakeServed means that the holder gave what it had.
	TakeServed TakeStatus = "Served"
	// TakeNotHolder means that the process is not in standing for the slot.
	TakeNotHolder TakeStatus = "NotHolder"
	// TakeNoShare means that the slot has no share of the workspace yet.
	TakeNoShare TakeStatus = "NoShare"
)

// TakeReply is a holder's reply.
type TakeReply struct {
	Status TakeStatus
	// Granted is at most the Count asked for.
	Granted int
	// TTL is how long after the asking the granted tokens lapse.
	TTL time.Duration
	// RetryAfter is when a token may be had again, if Granted fell short.
	RetryAfter time.Duration
}

// AdoptedRequest asks a holder which configuration generation it has adopted.
type AdoptedRequest struct {
	// Slots are the slots in question.
	Slots []SlotID
}

// SlotID names one slot.
type SlotID struct {
	Shard int
	Slot  int
}

// AdoptedReply is a holder's reply.
type AdoptedReply struct {
	Generation int64
	// Standing are those of the places for which the process is in standing.
	Standing []SlotID
}

// Peers carries asks to other nodes.
type Peers interface {
	Take(ctx context.Context, address string, ask TakeRequest) (TakeReply, error)
	Adopted(ctx context.Context, address string, ask AdoptedRequest) (AdoptedReply, error)
}

// MaxCount bounds the tokens in one ask.
const MaxCount = 256

// Outgoing is an AdoptedAsk on its way.
type Outgoing struct {
	To      gage.Process
	Address string
	// Generation is the asker's when it asked.
	Generation int64
	// Begun is how many tenures the asker had begun when it asked.
	Begun uint64
	Ask   AdoptedRequest
}
