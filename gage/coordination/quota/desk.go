package quota

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The bounds of a Desk.
const (
	// maxWaiters bounds the calls that wait for one workspace's tokens.
	maxWaiters = 1024
	// noShareFor is how long a slot without a share is left alone.
	noShareFor = 50 * time.Millisecond
	// notHolderFor is how long a slot whose holder is not in standing is.
	notHolderFor = 100 * time.Millisecond
	// minDownFor and maxDownFor bound how long a slot is left alone whose
	// holder does not answer.
	minDownFor = 100 * time.Millisecond
	maxDownFor = time.Second
	// RetryUnavailable is what a caller is told when no holder answers.
	RetryUnavailable = time.Second
)

// Desk is the entry's side: it asks the holders for tokens and hands them to
// the calls that wait. It is not safe for concurrent use: one goroutine owns
// it.
type Desk struct {
	self   gage.Member
	shares gage.Shares
	config *gage.Config
	// lines has an entry for each workspace.
	lines map[string]*line
	// flights are the asks under way: at most one for each workspace and slot.
	flights    map[uint64]*flight
	lastFlight uint64
	out        DeskEffects
}

// DeskEffects is what a Desk wants done.
type DeskEffects struct {
	Decisions []Decision
	Sends     []Send
}

// Decision is the answer to one call that asked.
type Decision struct {
	ID    uint64
	Grant gage.Grant
}

// Send is an ask to a holder.
type Send struct {
	// Flight is handed back with the answer.
	Flight uint64
	// Local tells that the holder is this process.
	Local   bool
	Address string
	Ask     TakeRequest
	// Timeout is how long an answer is of use.
	Timeout time.Duration
}

type flight struct {
	line   *line
	slot   int
	count  int
	sentAt time.Time
	// late tells that the answer is no longer waited for, though it counts.
	late bool
}

// line is one workspace at this node.
type line struct {
	workspace gage.Workspace
	limits    Limits
	// waiters are the IDs of the calls that wait, oldest first.
	waiters []uint64
	// hand is what was asked for ahead of need, oldest first.
	hand   []batch
	demand demand
	slots  [gage.ShareSlots]slotHint
}

// batch is tokens that lapse together.
type batch struct {
	count   int
	admitBy time.Time
}

// slotHint is what is known of a slot's holder.
type slotHint struct {
	// flight is the ask under way, or 0.
	flight uint64
	// emptyUntil is when the slot may have a token again.
	emptyUntil time.Time
	// downUntil is until when the slot is left alone.
	downUntil time.Time
	// holder is the process to which downUntil applies.
	holder gage.Process
	// downFor grows while the holder does not answer.
	downFor time.Duration
}

// NewDesk returns a Desk without a configuration.
func NewDesk(self gage.Member, shares gage.Shares) *Desk {
	return &Desk{self: self, shares: shares, lines: make(map[string]*line), flights: make(map[uint64]*flight)}
}

// Drain returns what is to be done since the last Drain.
func (d *Desk) Drain() DeskEffects {
	out := d.out
	d.out = DeskEffects{}
	return out
}

// Adopt takes in a configuration. Tokens of a workspace that changed are
// dropped, and calls of one that is gone are refused.
func (d *Desk) Adopt(config *gage.Config) {
	if d.config != nil && config.Generation <= d.config.Generation {
		return
	}
	d.config = config
	lines := make(map[string]*line, len(config.Workspaces))
	for _, w := range config.Workspaces {
		l := d.lines[w.Name]
		if l == nil {
			l = &line{}
		}
		if l.workspace.Rate != w.Rate || l.workspace.Burst != w.Burst {
			l.hand = nil
		}
		l.workspace = w
		l.limits = LimitsOf(w)
		lines[w.Name] = l
		delete(d.lines, w.Name)
	}
	for _, gone := range d.lines {
		gone.hand = nil
		d.refuse(gone, gage.Grant{Reason: gage.ReasonUnknownKey})
	}
	d.lines = lines
}

// Ask takes in a call that needs a token.
func (d *Desk) Ask(now time.Time, id uint64, workspace string) {
	if d.config == nil {
		d.decide(id, gage.Grant{Reason: gage.ReasonNoConfig, RetryAfter: RetryUnavailable})
		return
	}
	l := d.lines[workspace]
	if l == nil {
		d.decide(id, gage.Grant{Reason: gage.ReasonUnknownKey})
		return
	}
	l.demand.note(now)
	if len(l.waiters) >= maxWaiters {
		d.decide(id, gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: RetryUnavailable})
		return
	}
	l.waiters = append(l.waiters, id)
	d.serve(now, l)
}

// Cancel tells that a call no longer waits.
func (d *Desk) Cancel(id uint64, workspace string) {
	l := d.lines[workspace]
	if l == nil {
		return
	}
	if at := slices.Index(l.waiters, id); at >= 0 {
		l.waiters = slices.Delete(l.waiters, at, at+1)
	}
}

// Answered takes in the answer to a Send, with ok false when none came.
func (d *Desk) Answered(now time.Time, id uint64, answer TakeReply, ok bool) {
	f := d.flights[id]
	if f == nil {
		return
	}
	delete(d.flights, id)
	hint := &f.line.slots[f.slot]
	if hint.flight == id {
		hint.flight = 0
	}
	hint.note(now, f, answer, ok)
	if admitBy := f.sentAt.Add(answer.TTL); ok && answer.Granted > 0 && now.Before(admitBy) {
		f.line.hand = append(f.line.hand, batch{count: answer.Granted, admitBy: admitBy})
	}
	if d.lines[f.line.workspace.Name] == f.line {
		d.serve(now, f.line)
	}
}

// Late tells that an ask has been under way for HedgeAfter, so that the other
// slots are tried too.
func (d *Desk) Late(now time.Time, id uint64) {
	if f := d.flights[id]; f != nil {
		f.late = true
		d.serve(now, f.line)
	}
}

func (h *slotHint) note(now time.Time, f *flight, answer TakeReply, ok bool) {
	if !ok {
		h.downFor = min(max(2*h.downFor, minDownFor), maxDownFor)
		h.downUntil = now.Add(h.downFor)
		return
	}
	h.downFor = 0
	switch answer.Status {
	case TakeNotHolder:
		h.downUntil = now.Add(notHolderFor)
	case TakeNoShare:
		h.downUntil = now.Add(noShareFor)
	case TakeServed:
		if answer.Granted < f.count {
			h.emptyUntil = now.Add(max(answer.RetryAfter, minRetryAfter))
		}
	default:
		h.downUntil = now.Add(maxDownFor)
	}
}

func (d *Desk) decide(id uint64, g gage.Grant) {
	d.out.Decisions = append(d.out.Decisions, Decision{ID: id, Grant: g})
}

func (d *Desk) refuse(l *line, g gage.Grant) {
	for _, id := range l.waiters {
		d.decide(id, g)
	}
	l.waiters = nil
}
