package entry

import (
	"context"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

// attempts runs a call until it is answered or may not be tried again. The
// result holds what is left of the call's retry budget, and is NotRun only
// when no attempt may have run.
func (e *Entry) attempts(ctx context.Context, c gage.Call) gage.Result {
	e.options.RetryRatio.Earn()
	var tried []string
	mayHaveRun := false
	for {
		down, kept := retry.Split(c)
		sent := c
		sent.RetryBudget = down
		result, target := e.attempt(ctx, sent, tried)
		tried = append(tried, target)
		mayHaveRun = mayHaveRun || result.Outcome == gage.OutcomeUnknown
		cost := retry.Cost(c, result)
		renewed, refusal := e.renew(ctx, c, result, retry.Left(result, kept) >= cost)
		if refusal.Reason != gage.ReasonNone {
			refusal.RetryBudget = result.RetryBudget
			return conclude(refusal, kept, mayHaveRun)
		}
		c = renewed
		decision := retry.Next(e.options.Clock.Now(), c, result, down, kept, e.options.Random())
		if !decision.Retry || cost > 0 && !e.options.RetryRatio.Spend(c.Importance) {
			return conclude(result, kept, mayHaveRun)
		}
		e.options.Sleep(ctx, decision.Wait)
		next, refusal := e.recharge(ctx, decision.Call, result)
		if refusal.Reason != gage.ReasonNone {
			return conclude(result, kept, mayHaveRun)
		}
		c = next
	}
}

// conclude returns the last attempt's result as that of the whole call.
func conclude(r gage.Result, kept int, mayHaveRun bool) gage.Result {
	r.RetryBudget = retry.Left(r, kept)
	if r.Outcome == gage.OutcomeNotRun && mayHaveRun {
		r.Outcome = gage.OutcomeUnknown
	}
	return r
}

// renew takes quota anew for a caller's request that did not run and whose
// grant has grown old on the way. That grant was never acted on. A call that may
// not go again takes none.
func (e *Entry) renew(ctx context.Context, c gage.Call, last gage.Result, again bool) (gage.Call, gage.Result) {
	if !again || c.Depth > 1 || last.Outcome != gage.OutcomeNotRun || !renewable(c, last.Reason) {
		return c, gage.Result{}
	}
	c.AdmitBy = e.options.Clock.Now().Add(maxDecisionAge)
	return e.takeQuota(ctx, c)
}

// renewable tells whether a refused call may go to the targets again with a
// new grant. Of those that a target's queue shed only the most important may,
// since others would add to the overload.
func renewable(c gage.Call, reason gage.Reason) bool {
	switch reason {
	case gage.ReasonStaleDecision:
		return true
	case gage.ReasonOverload, gage.ReasonColdStart:
		return c.Importance == gage.ImportanceCritical
	default:
		return false
	}
}

// recharge takes quota again for a caller's request that may have run, so
// that its repeat stays within the workspace's rate too.
func (e *Entry) recharge(ctx context.Context, c gage.Call, last gage.Result) (gage.Call, gage.Result) {
	if c.Depth > 1 || last.Outcome == gage.OutcomeNotRun {
		return c, gage.Result{}
	}
	return e.takeQuota(ctx, c)
}

// attempt sends a call to one target.
func (e *Entry) attempt(ctx context.Context, c gage.Call, tried []string) (gage.Result, string) {
	now := e.options.Clock.Now()
	choice := e.options.Router.Pick(now, c, tried)
	if !choice.OK {
		refusal := gage.Refused(choice.Reason, "No target of service "+c.Service+" takes the request at present.")
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
	done := e.options.Clock.Now()
	e.options.Router.Observe(done, choice, result, done.Sub(now))
	e.record(c, recent.Attempted, choice.Target, result)
	return result, choice.Target
}
