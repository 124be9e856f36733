// Package retry decides whether a call is tried again. Only the node that
// took the call from a caller or a target asks; the hops after it do not
// retry.
package retry

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// The back-off between attempts.
const (
	baseWait = 5 * time.Millisecond
	maxWait  = 250 * time.Millisecond
)

// MaxAttempts bounds the attempts of one call whatever its budget.
const MaxAttempts = 10

// Decision is the answer of Next.
type Decision struct {
	Retry bool
	// Wait comes before the next attempt.
	Wait time.Duration
	// Call is the next attempt, with the budget that is left for it.
	Call gage.Call
}

// Split divides the budget of a call between the hops below it and the call's
// own retries. A lost answer takes with it what went down; so the call at the
// head of the chain keeps one retry back when it may repeat after a loss.
func Split(c gage.Call) (down, kept int) {
	if c.Depth == 1 && c.Idempotent && c.RetryBudget >= 2 {
		return c.RetryBudget - 1, 1
	}
	return c.RetryBudget, 0
}

// Next decides after the attempt c, which was sent with down of its budget
// while kept stayed here, has ended in r. Random is uniform over its type and
// sets the jitter.
func Next(now time.Time, c gage.Call, r gage.Result, down, kept int, random uint64) Decision {
	invar.Check(r.RetryBudget <= down && r.RetryBudget >= 0, "RetryBudgetNeverGrows",
		"RequestId", c.RequestID, "Given", down, "Left", r.RetryBudget)
	left, cost := r.RetryBudget+kept, Cost(c, r)
	if left < cost || c.Attempt >= MaxAttempts || !mayRepeat(c, r) {
		return Decision{}
	}
	wait := time.Duration(0)
	if cost > 0 {
		wait = backoff(c.Attempt, random)
	}
	next := now.Add(wait)
	if !next.Before(c.Deadline) || !next.Before(c.AdmitBy) {
		return Decision{}
	}
	c.Attempt++
	c.RetryBudget = left - cost
	c.AfterUnknownOutcome = c.AfterUnknownOutcome || r.Outcome == gage.OutcomeUnknown
	return Decision{Retry: true, Wait: wait, Call: c}
}

// Cost returns how many retries one more attempt after r takes from the budget
// of c. A call of the highest importance whose decisions lapsed while it waited
// for a slot has met no target: asking again only keeps its place.
func Cost(c gage.Call, r gage.Result) int {
	if c.Importance == gage.ImportanceCritical && r.Outcome == gage.OutcomeNotRun && r.Reason == gage.ReasonStaleDecision {
		return 0
	}
	return 1
}

// Left returns what is left of the budget of a call that is not tried again.
func Left(r gage.Result, kept int) int {
	return r.RetryBudget + kept
}

func mayRepeat(c gage.Call, r gage.Result) bool {
	if r.NestedSideEffects {
		return false
	}
	switch r.Outcome {
	case gage.OutcomeNotRun:
		return otherTargetMayTake(r)
	case gage.OutcomeUnknown:
		return c.Idempotent && lossMayPass(r.Reason)
	default:
		return false
	}
}

// otherTargetMayTake is true for refusals of one target or VM. A refusal that
// names none spoke for the whole service.
func otherTargetMayTake(r gage.Result) bool {
	if r.Target == "" && r.VM == "" {
		return false
	}
	switch r.Reason {
	case gage.ReasonOverload, gage.ReasonQueueFull, gage.ReasonColdStart,
		gage.ReasonDraining, gage.ReasonNoTarget, gage.ReasonTargetFailed,
		gage.ReasonPeerFailed, gage.ReasonStopping, gage.ReasonStaleDecision,
		gage.ReasonNoConfig:
		return true
	default:
		return false
	}
}

func lossMayPass(reason gage.Reason) bool {
	return reason == gage.ReasonPeerFailed || reason == gage.ReasonTargetFailed
}

// backoff doubles with each attempt and is drawn from its upper half.
func backoff(attempt int, random uint64) time.Duration {
	wait := baseWait
	for range attempt - 1 {
		wait = min(2*wait, maxWait)
	}
	half := uint64(wait / 2)
	return wait/2 + time.Duration(random%(half+1))
}
