// Package retry decides whether a call is retried. Only the node that received
// the call from a caller or a target retries it; the nodes to which it is
// forwarded do not.
package retry

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// The exponential backoff between attempts.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// MaxAttempts bounds the attempts of one call, whatever its budget.
const MaxAttempts = 10

// Decision is the result of Next.
type Decision struct {
	Retry bool
	// Wait is the backoff before the next attempt.
	Wait time.Duration
	// Call is the next attempt, with the retry budget that remains for it.
	Call gage.Call
}

// SplitBudget divides the retry budget of a call between the hops downstream
// and the call's own retries. If a response is lost, the budget that was passed
// downstream is lost with it. An idempotent call at the head of the chain
// therefore reserves one retry.
func SplitBudget(c gage.Call) (downstream, reserved int) {
	if c.Depth == 1 && c.Idempotent && c.RetryBudget >= 2 {
		return c.RetryBudget - 1, 1
	}
	return c.RetryBudget, 0
}

// Next decides whether the call c is retried after its last attempt has ended
// with r. Downstream is the retry budget that was sent with the attempt. Reserved
// is the retry budget that was held back for the call's own retries. Random sets
// the jitter and is uniform over all uint64 values.
func Next(now time.Time, c gage.Call, r gage.Result, downstream, reserved int, random uint64) Decision {
	invar.Check(r.RetryBudget <= downstream && r.RetryBudget >= 0, "RetryBudgetNeverGrows",
		"RequestId", c.RequestID, "Given", downstream, "Left", r.RetryBudget)
	remaining, cost := r.RetryBudget+reserved, Cost(c, r)
	if remaining < cost || c.Attempt >= MaxAttempts || !mayRetry(c, r) {
		return Decision{}
	}
	wait := time.Duration(0)
	if cost > 0 {
		wait = backoff(c.Attempt, random)
	}
	nextAt := now.Add(wait)
	if !nextAt.Before(c.Deadline) || !nextAt.Before(c.AdmitBy) {
		return Decision{}
	}
	c.Attempt++
	c.RetryBudget = remaining - cost
	c.AfterUnknownOutcome = c.AfterUnknownOutcome || r.Outcome == gage.OutcomeUnknown
	return Decision{Retry: true, Wait: wait, Call: c}
}

// Cost returns the number of retries that one more attempt after r takes from
// the budget of c. It is 0 for a critical call if the results of its key, quota
// and route checks expired while it waited for a slot. Such a call has not reached
// a target, so the next attempt only continues the wait.
func Cost(c gage.Call, r gage.Result) int {
	if c.Importance == gage.ImportanceCritical && r.Outcome == gage.OutcomeNotRun && r.Reason == gage.ReasonStaleDecision {
		return 0
	}
	return 1
}

// RemainingBudget returns the retry budget that remains of a call that is not
// retried.
func RemainingBudget(r gage.Result, reserved int) int {
	return r.RetryBudget + reserved
}

// mayRetry reports whether a call that ended with r may be retried. A call that
// did not run may be retried if another target may accept it. A call whose outcome
// is unknown may be retried if it is idempotent and the loss may be transient. A
// call is never retried if its target made nested calls that are not idempotent.
func mayRetry(c gage.Call, r gage.Result) bool {
	if r.NestedSideEffects {
		return false
	}
	switch r.Outcome {
	case gage.OutcomeNotRun:
		return otherTargetMayAccept(r)
	case gage.OutcomeUnknown:
		return c.Idempotent && lossMayBeTransient(r.Reason)
	default:
		return false
	}
}

// otherTargetMayAccept reports whether a refusal came from a single target or
// VM, so that another may accept the call. A refusal that names neither applies
// to the whole service.
func otherTargetMayAccept(r gage.Result) bool {
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

// lossMayBeTransient reports whether a retry may succeed after an attempt whose
// outcome is unknown for the given reason.
func lossMayBeTransient(reason gage.Reason) bool {
	return reason == gage.ReasonPeerFailed || reason == gage.ReasonTargetFailed
}

// backoff returns a random wait from the upper half of an interval that doubles
// with each attempt, up to maxBackoff.
func backoff(attempt int, random uint64) time.Duration {
	wait := baseBackoff
	for range attempt - 1 {
		wait = min(2*wait, maxBackoff)
	}
	half := uint64(wait / 2)
	return wait/2 + time.Duration(random%(half+1))
}
