package entry

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// ServeNested runs a call that a target makes for the request that the token
// stands for. The call inherits the workspace, importance, deadline and retry
// budget of that request.
func (e *Entry) ServeNested(ctx context.Context, token string, a Arrival) Answer {
	id := e.options.NewID()
	flight, ok := e.options.ActiveCalls.Find(token)
	if !ok {
		return Answer{RequestID: id, Result: gage.Refused(gage.ReasonBadToken, "The context token stands for no request in flight at this node.")}
	}
	call, refusal := e.acceptNested(id, flight, a)
	if refusal.Reason != gage.ReasonNone {
		e.record(call, recent.Refused, "", refusal)
		return Answer{RequestID: id, Result: refusal}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	flight.BeginNested(e.options.Clock.Now())
	taken := flight.Budget.Take()
	call.RetryBudget = taken
	result := e.attempts(ctx, call)
	flight.Budget.Return(taken, result.RetryBudget)
	flight.EndNested(e.options.Clock.Now(), call.Idempotent, result)
	e.record(call, recent.Answered, result.Target, result)
	return Answer{RequestID: id, Result: result}
}

func (e *Entry) acceptNested(id string, flight *host.ActiveCall, a Arrival) (gage.Call, gage.Result) {
	now := e.options.Clock.Now()
	call := inherit(newCall(id, a), flight.Call)
	view := e.options.Views.Get()
	if view == nil {
		return call, gage.Refused(gage.ReasonNoConfig, "This node holds no configuration yet.")
	}
	route, ok := view.Routes.Find(a.Method, a.MatchPath)
	if !ok {
		return call, gage.Refused(gage.ReasonNoRoute, "No route takes this method and path.")
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
	call.Deadline = earlier(flight.Call.Deadline, now.Add(shorter(route.Deadline, a.Timeout)))
	call.AdmitBy = earlier(call.Deadline, now.Add(maxNestedAge))
	return call, gage.Result{}
}

// inherit gives a nested call what belongs to the whole request.
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
