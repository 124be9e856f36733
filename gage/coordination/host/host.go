// Package host runs calls at the targets beside the node: it admits them,
// hands them over and keeps the tokens of those in flight.
package host

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// Sender runs an admitted call at the target's address.
type Sender interface {
	Send(ctx context.Context, address, token string, c gage.Call) gage.Result
}

// Addresses finds the targets beside this node.
type Addresses interface {
	// Address returns the host:port of a target, and its phase.
	Address(target string) (string, gage.TargetPhase, bool)
}

// Options holds what a Host depends on.
type Options struct {
	VM        string
	Admitter  gage.Admitter
	Sender    Sender
	Addresses Addresses
	Flights   *Flights
	Recent    *recent.Ring
	Clock     gage.Clock
}

// Host runs calls at the targets beside the node.
type Host struct {
	options  Options
	stopping atomic.Bool
}

// New returns a host.
func New(options Options) *Host {
	return &Host{options: options}
}

// Stop refuses calls from now on; those in flight go on.
func (h *Host) Stop() {
	h.stopping.Store(true)
}

// Run takes a call to a target beside this node and returns its result.
func (h *Host) Run(ctx context.Context, target string, c gage.Call) gage.Result {
	result := h.run(ctx, target, c)
	result.VM = h.options.VM
	result.Target = target
	if result.Outcome == gage.OutcomeNotRun {
		result.RetryBudget = c.RetryBudget
	}
	result.Load = h.options.Admitter.Load(target)
	h.record(c, target, result)
	return result
}

func (h *Host) run(ctx context.Context, target string, c gage.Call) gage.Result {
	address, refusal := h.locate(target)
	if refusal.Reason != gage.ReasonNone {
		return refusal
	}
	admission, refusal := h.options.Admitter.Admit(ctx, target, c)
	if refusal.Outcome == gage.OutcomeNotRun {
		return refusal
	}
	return h.send(ctx, address, admission, c)
}

func (h *Host) locate(target string) (string, gage.Result) {
	if h.stopping.Load() {
		return "", gage.Refused(gage.ReasonStopping, "The node beside the target is stopping.")
	}
	address, phase, ok := h.options.Addresses.Address(target)
	if !ok || phase == gage.TargetGone {
		return "", gage.Refused(gage.ReasonNoTarget, fmt.Sprintf("Target %s is not beside VM %s.", target, h.options.VM))
	}
	if phase == gage.TargetDraining {
		return "", gage.Refused(gage.ReasonDraining, fmt.Sprintf("Target %s is draining.", target))
	}
	return address, gage.Result{}
}

func (h *Host) send(ctx context.Context, address string, admission gage.Admission, c gage.Call) gage.Result {
	token, flight := h.options.Flights.Begin(c, admission.Target)
	result := h.options.Sender.Send(ctx, address, token, c)
	h.options.Flights.End(token)
	now := h.options.Clock.Now()
	nested := flight.outcome(now)
	release(now, admission, nested, result)
	result.RetryBudget = flight.Budget.Left()
	result.NestedSideEffects = nested.nested
	return result
}

// release gives the slot back with the target's own time. A call that failed
// since a nested one was shed says nothing of this target.
func release(now time.Time, admission gage.Admission, nested outcome, r gage.Result) {
	own := max(now.Sub(admission.AdmittedAt)-nested.waited, 0)
	if nested.shed && r.Status >= http.StatusInternalServerError {
		admission.ReleaseShed(now, own)
		return
	}
	admission.Release(now, own, targetFailed(r))
}

// targetFailed tells whether a result speaks of a target in trouble. A caller
// that went away says nothing about the target.
func targetFailed(r gage.Result) bool {
	if r.Outcome == gage.OutcomeRan {
		return false
	}
	return r.Reason != gage.ReasonCanceled && r.Reason != gage.ReasonStaleDecision
}

func (h *Host) record(c gage.Call, target string, r gage.Result) {
	event := recent.Admitted
	if r.Outcome == gage.OutcomeNotRun {
		event = recent.Refused
	}
	h.options.Recent.Add(recent.Event{
		At:        h.options.Clock.Now(),
		RequestID: c.RequestID,
		RootID:    c.RootID,
		VM:        h.options.VM,
		Event:     event,
		Target:    target,
		Attempt:   c.Attempt,
		Outcome:   r.Outcome,
		Reason:    r.Reason,
		Detail:    r.Detail,
		Workspace: c.Workspace,
		Route:     c.Route,
	})
}

// Idle waits until no call is in flight or ctx ends, looking every poll.
func (h *Host) Idle(ctx context.Context, poll time.Duration) bool {
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for h.options.Flights.Len() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
