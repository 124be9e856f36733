package entry

import (
	"context"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// Serve runs a caller's request and returns its answer, which may be a refusal.
func (e *Entry) Serve(ctx context.Context, a Arrival) Answer {
	start := e.options.Clock.Now()
	call, result := e.run(ctx, e.options.NewID(), a)
	e.options.Tally.CountRequest(call, result, e.options.Clock.Now().Sub(start))
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
		return call, gage.Refused(gage.ReasonNoConfig, "This node has no configuration yet; try another node.")
	}
	route, ok := view.Routes.Find(a.Method, a.MatchPath)
	if !ok || route.Internal {
		return call, gage.Refused(gage.ReasonNoRoute, "No route matches this method and path.")
	}
	call = withRoute(call, route)
	workspace, refusal := e.authenticate(now, view, route, a)
	if refusal.Reason != gage.ReasonNone {
		return call, refusal
	}
	call.Workspace = workspace
	call.Deadline = now.Add(boundedTimeout(route.Deadline, a.Timeout))
	call.AdmitBy = now.Add(maxDecisionAge)
	return call, gage.Result{}
}

// authenticate returns the workspace to which the request's API key belongs, or
// "" if the route is open. The Result is a refusal
// if the request may not be served, and otherwise empty.
func (e *Entry) authenticate(now time.Time, view *View, route gage.Route, a Arrival) (string, gage.Result) {
	if containsKey(view, a) {
		return "", gage.Refused(gage.ReasonBadRequest, "A key is allowed in the Authorization header only.")
	}
	if route.Open {
		return "", gage.Result{}
	}
	if !e.options.Freshness.Fresh(now) {
		return "", gage.Refused(gage.ReasonNoConfig, "This node's configuration may be out of date, so that it cannot check keys; try another node.")
	}
	if a.Key == "" {
		return "", gage.Refused(gage.ReasonNoKey, "Send the workspace's key as Authorization: Bearer KEY.")
	}
	workspace, ok := view.Keys.Lookup(a.Key)
	if !ok {
		return "", gage.Refused(gage.ReasonUnknownKey, "The key is not valid.")
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
		return e.runAttempts(ctx, c)
	}
	claim := e.options.Claimer.Claim(ctx, e.options.Clock.Now(), c)
	if claim.Outcome != gage.OutcomeNotRun || claim.Reason != gage.ReasonNone {
		return duplicateResult(claim)
	}
	result := e.runAttempts(ctx, c)
	e.settle(ctx, c, claim, result)
	return result
}

// settle records the result of the call that holds the claim. It does so even if
// the caller has disconnected, since a retry by the caller must find the result.
func (e *Entry) settle(ctx context.Context, c gage.Call, claim gage.Claim, r gage.Result) {
	e.options.Claimer.Settle(context.WithoutCancel(ctx), e.options.Clock.Now(), c, claim, r)
}

// duplicateResult returns the result for a call that did not get the claim of
// its idempotency key.
func duplicateResult(claim gage.Claim) gage.Result {
	if claim.Outcome == gage.OutcomeRan && claim.Answer.Status != 0 {
		return claim.Answer
	}
	r := gage.Result{Outcome: claim.Outcome, Reason: claim.Reason, RetryAfter: claim.Answer.RetryAfter}
	switch claim.Outcome {
	case gage.OutcomeRan:
		r.Detail = "A request with this idempotency key has run; its answer is no longer stored."
	case gage.OutcomeNotRun:
		r.Detail = "The idempotency key could not be recorded, so nothing ran."
	default:
		r.Detail = "A request with this idempotency key is running or may have run."
	}
	return r
}

// takeQuota takes a quota token of the call's workspace and sets the call's
// AdmitBy to the expiry of the token. A call without a workspace needs no quota.
func (e *Entry) takeQuota(ctx context.Context, c gage.Call) (gage.Call, gage.Result) {
	if c.Workspace == "" {
		return c, gage.Result{}
	}
	grant := e.takeWithBackoff(ctx, c.Workspace)
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

// takeWithBackoff takes a quota token. While no holder of the workspace's quota
// answers, it retries with exponential backoff: the holder may have changed, and
// a new holder is usually found within the total backoff time.
func (e *Entry) takeWithBackoff(ctx context.Context, workspace string) gage.Grant {
	backoff := minQuotaBackoff
	for {
		grant := e.options.Limiter.Take(ctx, e.options.Clock.Now(), workspace)
		if grant.OK || grant.Reason != gage.ReasonQuotaUnavailable || backoff > maxQuotaBackoff || ctx.Err() != nil {
			return grant
		}
		e.options.Sleep(ctx, backoff)
		backoff *= 2
	}
}
