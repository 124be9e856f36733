package admit

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The states of a slotRequest. A request leaves requestWaiting once; the other
// two states are final.
const (
	requestWaiting int32 = iota
	requestDecided
	requestWithdrawn
)

// slotRequest asks for a slot for one call.
type slotRequest struct {
	entry shed.Entry
	state atomic.Int32
	// decision has a capacity of 1. It receives exactly one decision if state
	// becomes requestDecided, and none otherwise.
	decision chan gate.Decision
}

func newSlotRequest(c gage.Call) *slotRequest {
	return &slotRequest{
		entry: shed.Entry{
			Rank:      c.Importance.Rank(),
			Nested:    c.Depth > 1,
			Route:     c.Route,
			Workspace: c.Workspace,
			ShedOrder: uint32(xxhash.Sum64String(c.RootID)),
			Deadline:  c.Deadline,
			AdmitBy:   c.AdmitBy,
		},
		decision: make(chan gate.Decision, 1),
	}
}

// decide sends d to the caller. It reports false if the caller has withdrawn
// the request.
func (r *slotRequest) decide(d gate.Decision) bool {
	if !r.state.CompareAndSwap(requestWaiting, requestDecided) {
		return false
	}
	r.decision <- d
	return true
}

// withdraw cancels the request. It reports false if the request was already
// decided.
func (r *slotRequest) withdraw() bool {
	return r.state.CompareAndSwap(requestWaiting, requestWithdrawn)
}

func (r *slotRequest) isWithdrawn() bool {
	return r.state.Load() == requestWithdrawn
}

func (r *slotRequest) expiryReason(now time.Time) gage.Reason {
	return shed.ExpiryReason(now, r.entry, 0)
}
