package admit

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The states of a ticket. It leaves ticketWaiting once.
const (
	ticketWaiting int32 = iota
	ticketDecided
	ticketWithdrawn
)

// ticket is one call that asks for a slot.
type ticket struct {
	entry shed.Entry
	state atomic.Int32
	// reply holds one decision exactly when state is ticketDecided.
	reply chan gate.Decision
}

func newTicket(c gage.Call) *ticket {
	return &ticket{
		entry: shed.Entry{
			Rank:      c.Importance.Rank(),
			Nested:    c.Depth > 1,
			Route:     c.Route,
			Workspace: c.Workspace,
			ShedOrder: uint32(xxhash.Sum64String(c.RootID)),
			Deadline:  c.Deadline,
			AdmitBy:   c.AdmitBy,
		},
		reply: make(chan gate.Decision, 1),
	}
}

// decide settles the ticket unless its caller has withdrawn it.
func (t *ticket) decide(d gate.Decision) bool {
	if !t.state.CompareAndSwap(ticketWaiting, ticketDecided) {
		return false
	}
	t.reply <- d
	return true
}

// withdraw takes the ticket back unless it has been decided.
func (t *ticket) withdraw() bool {
	return t.state.CompareAndSwap(ticketWaiting, ticketWithdrawn)
}

func (t *ticket) withdrawn() bool {
	return t.state.Load() == ticketWithdrawn
}

func (t *ticket) lapsed(now time.Time) gage.Reason {
	return shed.ExpiryReason(now, t.entry, 0)
}
