package entry

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// ServeNested runs a nested call, which a target makes while it serves its parent,
// the call to which token belongs. The nested call inherits the workspace and the
// importance of its parent, and its deadline is not later. It may use the retry
// budget that the parent has left.
func (e *Entry) ServeNested(ctx context.Context, token string, a Arrival) Answer {
	id := e.options.NewID()
	parent, ok := e.options.ActiveCalls.Find(token)
	if !ok {
		return Answer{RequestID: id, Result: gage.Refused(gage.ReasonBadToken, "The context token belongs to no request in flight at this node.")}
	}
	call, refusal := e.acceptNested(id, parent, a)
	if refusal.Reason != gage.ReasonNone {
		e.record(call, recent.Refused, "", refusal)
		return Answer{RequestID: id, Result: refusal}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	parent.BeginNested(e.options.Clock.Now())
	takenBudget := parent.Budget.TakeAll()
	call.RetryBudget = takenBudget
	result := e.runAttempts(ctx, call)
	parent.Budget.Return(takenBudget, result.RetryBudget)
	parent.EndNested(e.options.Clock.Now(), call.Idempotent, result)
	e.record(call, recent.Answered, result.Target, result)
	return Answer{RequestID: id, Result: result}
}

// acceptNested checks a nested call and derives it from its parent.
func (e *Entry) acceptNested(id string, parent *host.ActiveCall, a Arrival) (gage.Call, gage.Result) {
	now := e.options.Clock.Now()
	call := inherit(newCall(id, a), parent.Call)
	view := e.options.Views.Get()
	if view == nil {
		return call, gage.Refused(gage.ReasonNoConfig, "This node has no configuration yet.")
	}
	route, ok := view.Routes.Find(a.Method, a.MatchPath)
	if !ok {
		return call, gage.Refused(gage.ReasonNoRoute, "No route matches this method and path.")
	}
	importance := call.Importance
	call = withRoute(call, route)
	call.Importance = importance
	if call.Depth > maxDepth {
		return call, gage.Refused(gage.ReasonBadRequest, "The chain of nested calls is too deep.")
	}
	if call.AfterUnknownOutcome && !call.Idempotent {
		return call, gage.Refused(gage.ReasonRetryNotRepeating, "A retry of a request that may have run does not repeat its non-idempotent calls.")
	}
	call.Deadline = earlier(parent.Call.Deadline, now.Add(boundedTimeout(route.Deadline, a.Timeout)))
	call.AdmitBy = earlier(call.Deadline, now.Add(maxNestedDecisionAge))
	return call, gage.Result{}
}

// inherit returns c, a nested call, with the fields that it takes over or derives
// from its parent.
func inherit(c gage.Call, parent gage.Call) gage.Call {
	c.RootID = parent.RootID
	c.Depth = parent.Depth + 1
	c.Workspace = parent.Workspace
	c.Importance = parent.Importance
	c.AfterUnknownOutcome = parent.AfterUnknownOutcome
	return c
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
