package quota

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// HedgeAfter is after how long an ask under way no longer keeps the other
// slots from being asked.
const HedgeAfter = 25 * time.Millisecond

// serve hands out what there is and asks for what is missing.
func (d *Desk) serve(now time.Time, l *line) {
	d.handOut(now, l)
	switch {
	case d.awaited(l):
		return
	case len(l.waiters) > 0:
		d.fetch(now, l, len(l.waiters)+l.ahead(now))
	default:
		d.refill(now, l)
	}
	if len(l.waiters) > 0 && !l.asking() {
		d.refuse(l, d.refusal(now, l))
	}
}

func (d *Desk) handOut(now time.Time, l *line) {
	for len(l.hand) > 0 {
		first := &l.hand[0]
		if first.count == 0 || !now.Before(first.admitBy) {
			l.hand = l.hand[1:]
			continue
		}
		if len(l.waiters) == 0 {
			return
		}
		d.decide(l.waiters[0], gage.Grant{OK: true, AdmitBy: first.admitBy})
		l.waiters = l.waiters[1:]
		first.count--
	}
}

// awaited reports whether an ask is under way whose answer may still come in
// good time. Calls that come meanwhile join it.
func (d *Desk) awaited(l *line) bool {
	for _, hint := range l.slots {
		if f := d.flights[hint.flight]; f != nil && !f.late {
			return true
		}
	}
	return false
}

// asking reports whether any ask is under way.
func (l *line) asking() bool {
	for _, hint := range l.slots {
		if hint.flight != 0 {
			return true
		}
	}
	return false
}

// refill asks ahead of need when what is in hand runs short.
func (d *Desk) refill(now time.Time, l *line) {
	ahead := l.ahead(now)
	inHand := 0
	for _, b := range l.hand {
		inHand += b.count
	}
	if ahead > 0 && inHand <= ahead/2 {
		d.fetch(now, l, ahead)
	}
}

// fetch asks the best slot that may have tokens.
func (d *Desk) fetch(now time.Time, l *line, count int) {
	for _, s := range d.order(l) {
		hint := &l.slots[s.Slot]
		if hint.holder != s.Holder {
			hint.holder = s.Holder
			hint.downUntil = time.Time{}
			hint.downFor = 0
		}
		if hint.flight != 0 || now.Before(hint.emptyUntil) || now.Before(hint.downUntil) {
			continue
		}
		d.send(now, l, s, min(count, MaxCount))
		return
	}
}

func (d *Desk) send(now time.Time, l *line, s gage.ShareSlot, count int) {
	d.lastFlight++
	d.flights[d.lastFlight] = &flight{line: l, slot: s.Slot, count: count, sentAt: now}
	l.slots[s.Slot].flight = d.lastFlight
	d.out.Sends = append(d.out.Sends, Send{
		Flight:  d.lastFlight,
		Local:   s.Holder == d.process(),
		Address: s.PeerAddress,
		Ask:     TakeRequest{Slot: s.Slot, Workspace: l.workspace.Name, Count: count},
		Timeout: l.limits.Age,
	})
}

func (d *Desk) process() gage.Process {
	return gage.Process{VM: d.self.VM, StartedAt: d.self.StartedAt}
}

// order returns the slots that share the workspace, this process's first, then
// those of the own zone, then the others in the workspace's order.
func (d *Desk) order(l *line) []gage.ShareSlot {
	var ranked [3][]gage.ShareSlot
	slots := d.shares.Slots(gage.ShardOf(l.workspace.Name))
	for _, s := range slots {
		local := s.Holder == d.process()
		if turn(l.workspace.Name, s.Slot) >= l.limits.Slots || s.PeerAddress == "" && !local {
			continue
		}
		rank := 2
		if local {
			rank = 0
		} else if s.Zone == d.self.Zone {
			rank = 1
		}
		ranked[rank] = append(ranked[rank], s)
	}
	return append(append(ranked[0], ranked[1]...), ranked[2]...)
}

// refusal tells why no token can be had.
func (d *Desk) refusal(now time.Time, l *line) gage.Grant {
	wait := time.Duration(math.MaxInt64)
	for _, hint := range l.slots {
		if now.Before(hint.emptyUntil) {
			wait = min(wait, hint.emptyUntil.Sub(now))
		}
	}
	if wait == math.MaxInt64 {
		return gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: RetryUnavailable}
	}
	return gage.Grant{Reason: gage.ReasonOverRate, RetryAfter: wait}
}
