package entry

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// Serve runs a caller's request.
func (e *Entry) Serve(ctx context.Context, a Arrival) Answer {
	began := e.options.Clock.Now()
	call, result := e.run(ctx, e.options.NewID(), a)
	e.options.Tally.CountRequest(call, result, e.options.Clock.Now().Sub(began))
	return Answer{RequestID: call.RequestID, Result: result}
}

func (e *Entry) run(ctx context.Context, id string, a Arrival) (gage.Call, gage.Result) {
	call, refusal := e.accept(id, a)
	if refusal.Reason != gage.ReasonNone {
		e.record(call, recent.Refused, "", refusal)
		return call, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result := e.serve(ctx, call)
	e.record(call, recent.Answered, result.Target, result)
	return call, result
}

// accept checks a caller's request and turns it into a call.
func (e *Entry) accept(id string, a Arrival) (gage.Call, gage.Result) {
	now := e.options.Clock.Now()
	call := newCall(id, a)
	call.RootID = id
	call.Depth = 1
	call.RetryBudget = rootRetryBudget
	view := e.options.Views.Get()
	if view == nil {
		return call, gage.Refused(gage.ReasonNoConfig, "This node holds no configuration yet; try another node.")
	}
	route, ok := view.Routes.Find(a.Method, a.MatchPath)
	if !ok || route.Internal {
		return call, gage.Refused(gage.ReasonNoRoute, "No route takes this method and path.")
	}
	call = withRoute(call, route)
	workspace, refusal := e.authenticate(now, view, route, a)
	if refusal.Reason != gage.ReasonNone {
		return call, refusal
	}
	call.Workspace = workspace
	call.Deadline = now.Add(shorter(route.Deadline, a.Timeout))
	call.AdmitBy = now.Add(maxDecisionAge)
	return call, gage.Result{}
}

// authenticate returns the workspace whose key came with the request.
func (e *Entry) authenticate(now time.Time, view *View, route gage.Route, a Arrival) (string, gage.Result) {
	if carriesKey(view, a) {
		return "", gage.Refused(gage.ReasonBadRequest, "A key may stand in the Authorization header only.")
	}
	if route.Open {
		return "", gage.Result{}
	}
	if !e.options.Freshness.Fresh(now) {
		return "", gage.Refused(gage.ReasonNoConfig, "This node is cut off and cannot tell which keys are in force; try another node.")
	}
	if a.Key == "" {
		return "", gage.Refused(gage.ReasonNoKey, "Send the workspace's key as Authorization: Bearer KEY.")
	}
	workspace, ok := view.Keys.Lookup(a.Key)
	if !ok {
		return "", gage.Refused(gage.ReasonUnknownKey, "The key is not in force.")
	}
	return workspace, gage.Result{}
}

// serve takes quota, claims the idempotency key and runs the call.
func (e *Entry) serve(ctx context.Context, c gage.Call) gage.Result {
	c, refusal := e.takeQuota(ctx, c)
	if refusal.Reason != gage.ReasonNone {
		return refusal
	}
	if c.Idempotent || c.IdempotencyKey == "" {
		return e.attempts(ctx, c)
	}
	claim := e.options.Claimer.Claim(ctx, e.options.Clock.Now(), c)
	if claim.Outcome != gage.OutcomeNotRun || claim.Reason != gage.ReasonNone {
		return claimed(claim)
	}
	result := e.attempts(ctx, c)
	e.settle(ctx, c, claim, result)
	return result
}

// settle outlives the caller, whose repeat must find what became of the call.
func (e *Entry) settle(ctx context.Context, c gage.Call, claim gage.Claim, r gage.Result) {
	e.options.Claimer.Settle(context.WithoutCancel(ctx), e.options.Clock.Now(), c, claim, r)
}

// claimed returns the result for a repeat of an idempotency key.
func claimed(claim gage.Claim) gage.Result {
	if claim.Outcome == gage.OutcomeRan && claim.Answer.Status != 0 {
		return claim.Answer
	}
	r := gage.Result{Outcome: claim.Outcome, Reason: claim.Reason, RetryAfter: claim.Answer.RetryAfter}
	switch claim.Outcome {
	case gage.OutcomeRan:
		r.Detail = "A request with this idempotency key has run; its answer is no longer kept."
	case gage.OutcomeNotRun:
		r.Detail = "The idempotency key could not be recorded, so nothing ran."
	default:
		r.Detail = "A request with this idempotency key is running or may have run."
	}
	return r
}

// takeQuota charges the call to its workspace. Open routes have none.
func (e *Entry) takeQuota(ctx context.Context, c gage.Call) (gage.Call, gage.Result) {
	if c.Workspace == "" {
		return c, gage.Result{}
	}
	grant := e.patientTake(ctx, c.Workspace)
	if !grant.OK {
		r := gage.Refused(grant.Reason, "The workspace has used its rate and burst.")
		if grant.Reason != gage.ReasonOverRate {
			r.Detail = "The workspace's quota cannot be reached."
		}
		r.RetryAfter = grant.RetryAfter
		return c, r
	}
	c.AdmitBy = grant.AdmitBy
	return c, gage.Result{}
}

// patientTake asks again for a while when no holder of the workspace's shares
// answers: a share that has just changed hands is found within that time.
func (e *Entry) patientTake(ctx context.Context, workspace string) gage.Grant {
	wait := firstQuotaWait
	for {
		grant := e.options.Limiter.Take(ctx, e.options.Clock.Now(), workspace)
		if grant.OK || grant.Reason != gage.ReasonQuotaUnavailable || wait > lastQuotaWait || ctx.Err() != nil {
			return grant
		}
		e.options.Sleep(ctx, wait)
		wait *= 2
	}
}
