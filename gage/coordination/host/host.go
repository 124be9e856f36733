// Package host runs calls at the targets on the node's own VM. It admits a call
// and sends it to its target. It also maps context tokens to the calls in flight.
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

// Sender sends admitted calls to targets.
type Sender interface {
	// Send sends a call with its context token to the target at address, a
	// host:port, and returns the target's answer.
	Send(ctx context.Context, address, token string, c gage.Call) gage.Result
}

// AddressBook looks up the addresses of the targets on this VM.
type AddressBook interface {
	// Address returns the host:port of a target and its phase, or false if
	// the target is unknown.
	Address(target string) (string, gage.TargetPhase, bool)
}

// Options holds what a Host depends on.
type Options struct {
	VM          string
	Admitter    gage.Admitter
	Sender      Sender
	AddressBook AddressBook
	ActiveCalls *ActiveCalls
	Recent      *recent.Ring
	Clock       gage.Clock
}

// Host runs calls at the targets on the node's own VM.
type Host struct {
	options  Options
	stopping atomic.Bool
}

// New returns a host.
func New(options Options) *Host {
	return &Host{options: options}
}

// Stop makes the Host refuse new calls. Calls in flight continue.
func (h *Host) Stop() {
	h.stopping.Store(true)
}

// Run sends a call to a target on this VM and returns its result. It blocks
// while the call waits for admission.
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
		return "", gage.Refused(gage.ReasonStopping, "The node on the target's VM is stopping.")
	}
	address, phase, ok := h.options.AddressBook.Address(target)
	if !ok || phase == gage.TargetGone {
		return "", gage.Refused(gage.ReasonNoTarget, fmt.Sprintf("Target %s is not on VM %s.", target, h.options.VM))
	}
	if phase == gage.TargetDraining {
		return "", gage.Refused(gage.ReasonDraining, fmt.Sprintf("Target %s is draining.", target))
	}
	return address, gage.Result{}
}

func (h *Host) send(ctx context.Context, address string, admission gage.Admission, c gage.Call) gage.Result {
	token, active := h.options.ActiveCalls.Begin(c, admission.Target)
	result := h.options.Sender.Send(ctx, address, token, c)
	h.options.ActiveCalls.End(token)
	now := h.options.Clock.Now()
	nested := active.nestedSummary(now)
	release(now, admission, nested, result)
	result.RetryBudget = active.Budget.Close()
	result.NestedSideEffects = nested.hasSideEffects
	return result
}

// release frees the call's slot and reports the service time, which excludes the
// time of nested calls. If the call failed and a nested call was shed, the failure
// is not counted against this target.
func release(now time.Time, admission gage.Admission, nested nestedSummary, r gage.Result) {
	serviceTime := max(now.Sub(admission.AdmittedAt)-nested.duration, 0)
	if nested.hasShedCall && r.Status >= http.StatusInternalServerError {
		admission.ReleaseShed(now, serviceTime)
		return
	}
	admission.Release(now, serviceTime, targetFailed(r))
}

// targetFailed reports whether a result counts as a failure of the target. A call
// does not count if its caller canceled it or if it expired before it was sent.
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

// WaitIdle waits until no call is in flight or ctx ends, and reports whether no
// call is in flight. It checks once every interval.
func (h *Host) WaitIdle(ctx context.Context, interval time.Duration) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for h.options.ActiveCalls.Len() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
