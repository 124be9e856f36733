package entry

import (
	"context"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

// runAttempts sends a call to one target after another until it is answered or
// may not be retried. The result holds the unused part of the call's retry
// budget. It has OutcomeNotRun only if it is certain that no attempt ran.
func (e *Entry) runAttempts(ctx context.Context, c gage.Call) gage.Result {
	e.options.RetryRatio.Earn()
	var tried []string
	mayHaveRun := false
	for {
		passedBudget, keptBudget := retry.SplitBudget(c)
		outgoing := c
		outgoing.RetryBudget = passedBudget
		result, target := e.attempt(ctx, outgoing, tried)
		tried = append(tried, target)
		mayHaveRun = mayHaveRun || result.Outcome == gage.OutcomeUnknown
		cost := retry.Cost(c, result)
		renewed, refusal := e.renewGrant(ctx, c, result, retry.RemainingBudget(result, keptBudget) >= cost)
		if refusal.Reason != gage.ReasonNone {
			refusal.RetryBudget = result.RetryBudget
			return finalResult(refusal, keptBudget, mayHaveRun)
		}
		c = renewed
		decision := retry.Next(e.options.Clock.Now(), c, result, passedBudget, keptBudget, e.options.Random())
		if !decision.Retry || cost > 0 && !e.options.RetryRatio.Spend(c.Importance) {
			return finalResult(result, keptBudget, mayHaveRun)
		}
		e.options.Sleep(ctx, decision.Wait)
		next, refusal := e.chargeRetry(ctx, decision.Call, result)
		if refusal.Reason != gage.ReasonNone {
			return finalResult(result, keptBudget, mayHaveRun)
		}
		c = next
	}
}

// finalResult returns the result of the whole call; r is the result of its last
// attempt. keptBudget is the part of the retry budget that was not passed on with
// that attempt.
func finalResult(r gage.Result, keptBudget int, mayHaveRun bool) gage.Result {
	r.RetryBudget = retry.RemainingBudget(r, keptBudget)
	if r.Outcome == gage.OutcomeNotRun && mayHaveRun {
		r.Outcome = gage.OutcomeUnknown
	}
	return r
}

// renewGrant takes a new quota grant for a caller's request whose last attempt
// did not run, if mayRenewGrant allows a new grant. If budgetSuffices is false,
// the call will not be retried, and renewGrant takes no quota.
func (e *Entry) renewGrant(ctx context.Context, c gage.Call, last gage.Result, budgetSuffices bool) (gage.Call, gage.Result) {
	if !budgetSuffices || c.Depth > 1 || last.Outcome != gage.OutcomeNotRun || !mayRenewGrant(c, last.Reason) {
		return c, gage.Result{}
	}
	c.AdmitBy = e.options.Clock.Now().Add(maxDecisionAge)
	return e.takeQuota(ctx, c)
}

// mayRenewGrant reports whether a call that was refused for reason may be retried
// with a new grant. After ReasonOverload or ReasonColdStart only a critical call
// may be, since other retries would add to the overload.
func mayRenewGrant(c gage.Call, reason gage.Reason) bool {
	switch reason {
	case gage.ReasonStaleDecision:
		return true
	case gage.ReasonOverload, gage.ReasonColdStart:
		return c.Importance == gage.ImportanceCritical
	default:
		return false
	}
}

// chargeRetry takes quota for the retry of a caller's request whose last attempt
// ran or may have run, so that the retry also counts against the workspace's rate
// limit.
func (e *Entry) chargeRetry(ctx context.Context, c gage.Call, last gage.Result) (gage.Call, gage.Result) {
	if c.Depth > 1 || last.Outcome == gage.OutcomeNotRun {
		return c, gage.Result{}
	}
	return e.takeQuota(ctx, c)
}

// attempt sends a call to one target, if possible to one that is not in tried.
// It returns the result and the target's name, or "" if no target was picked.
func (e *Entry) attempt(ctx context.Context, c gage.Call, tried []string) (gage.Result, string) {
	start := e.options.Clock.Now()
	choice := e.options.Router.Pick(start, c, tried)
	if !choice.OK {
		refusal := gage.Refused(choice.Reason, "No target of service "+c.Service+" can take the request at present.")
		refusal.RetryAfter = choice.RetryAfter
		refusal.RetryBudget = c.RetryBudget
		return refusal, ""
	}
	result := e.options.Forwarder.Forward(ctx, choice, c)
	if result.Outcome == gage.OutcomeNotRun {
		result.RetryBudget = c.RetryBudget
		result.Target = choice.Target
		result.VM = choice.VM
	}
	end := e.options.Clock.Now()
	e.options.Router.Observe(end, choice, result, end.Sub(start))
	e.record(c, recent.Attempted, choice.Target, result)
	return result, choice.Target
}
