package quota

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// TakeRequest asks the holder of a slot for tokens of one workspace.
type TakeRequest struct {
	// Slot is a slot of the workspace's shard.
	Slot      int
	Workspace string
	// Count is at least 1 and at most MaxTokensPerRequest.
	Count int
}

// TakeStatus states whether a holder could process a TakeRequest.
type TakeStatus string

const (
	// TakeServed means that the holder granted the tokens it had, possibly
	// none.
	TakeServed TakeStatus = "Served"
	// TakeNotHolder means that the process may not serve the slot now.
	TakeNotHolder TakeStatus = "NotHolder"
	// TakeNoShare means that the slot's burst for the workspace is below one
	// token, for example because its limits have not been raised yet.
	TakeNoShare TakeStatus = "NoShare"
)

// TakeReply is the reply to a TakeRequest.
type TakeReply struct {
	Status TakeStatus
	// Granted is at most the Count requested.
	Granted int
	// TTL is the time from the sending of the request to the expiry of the granted
	// tokens.
	TTL time.Duration
	// RetryAfter is how long to wait before the next request. It is set if
	// Granted is less than the Count requested.
	RetryAfter time.Duration
}

// AdoptedRequest asks a process which configuration generation it has adopted
// and which of the slots it may serve.
type AdoptedRequest struct {
	Slots []SlotID
}

// SlotID identifies a slot in the fleet.
type SlotID struct {
	Shard int
	Slot  int
}

// AdoptedReply is the reply to an AdoptedRequest.
type AdoptedReply struct {
	// Generation is 0 when no configuration is adopted.
	Generation int64
	// AdoptedSlots are the slots of the request that the process may serve. The
	// reply confirms that they use the configuration of Generation.
	AdoptedSlots []SlotID
}

// Peers sends requests to the nodes at the given addresses.
type Peers interface {
	Take(ctx context.Context, address string, request TakeRequest) (TakeReply, error)
	Adopted(ctx context.Context, address string, request AdoptedRequest) (AdoptedReply, error)
}

// MaxTokensPerRequest bounds TakeRequest.Count.
const MaxTokensPerRequest = 256

// OutgoingAdopted is an AdoptedRequest to be sent.
type OutgoingAdopted struct {
	To      gage.Process
	Address string
	// Generation is the configuration generation that the sender has adopted.
	Generation int64
	// LastSequence is the sequence number of the sender's newest slotState.
	LastSequence uint64
	Request      AdoptedRequest
}
