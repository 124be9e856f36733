package gage

import (
	"context"
	"time"
)

// Clock returns the present time. Only the layers that do I/O hold a Clock;
// functions that make decisions take the time as an argument.
type Clock interface {
	Now() time.Time
}

// Grant is the reply of a Limiter to a request for one token. OK is set if the
// token was granted; otherwise Reason says why not.
type Grant struct {
	OK     bool
	Reason Reason
	// AdmitBy is when the granted token expires.
	AdmitBy time.Time
	// RetryAfter is how long a refused caller should wait before it asks
	// again, or 0.
	RetryAfter time.Duration
}

// Limiter enforces the fleet-wide rate limits of workspaces.
type Limiter interface {
	// Take requests one token of the workspace. Over all nodes together, at
	// most Rate*t + Burst tokens are used in any interval of length t, provided
	// that no token is used after its Grant.AdmitBy.
	Take(ctx context.Context, now time.Time, workspace string) Grant
}

// Claim is the reply of a Claimer for one call.
type Claim struct {
	// Outcome is that of the earlier calls with the same idempotency key:
	// OutcomeNotRun if none ran, OutcomeRan if one ran, and OutcomeUnknown if
	// one is running or may have run. The call may run if Outcome is
	// OutcomeNotRun and Reason is ReasonNone.
	Outcome Outcome
	Reason  Reason
	// Answer is the answer of the earlier call. Its Status is 0 if no answer
	// is stored.
	Answer Result
	// Ticket identifies the claim when the call is settled.
	Ticket string
}

// Claimer prevents duplicate execution of calls with the same idempotency key.
type Claimer interface {
	// Claim must be called before a non-idempotent call with an idempotency
	// key runs. For each workspace, route and key at most one call gets the
	// claim. Another call can get it only after the previous holder has settled
	// it with OutcomeNotRun.
	Claim(ctx context.Context, now time.Time, c Call) Claim
	// Settle reports the result of the call that held the claim.
	Settle(ctx context.Context, now time.Time, c Call, claim Claim, r Result)
}

// Admitter controls admission to the targets on the node's own VM.
type Admitter interface {
	// Admit blocks until the call may run at target, is refused, or ctx ends.
	// If the result has OutcomeNotRun, the call was refused. Otherwise Release
	// or ReleaseShed of the Admission must be called exactly once.
	Admit(ctx context.Context, target string, c Call) (Admission, Result)
	// Load returns the current load of a target.
	Load(target string) Load
}

// Admission is the right to run one call.
type Admission struct {
	Target string
	// AdmittedAt is when the call got its slot.
	AdmittedAt time.Time
	// Release returns the slot. Latency is the target's service time. It should
	// exclude the time spent waiting for nested calls. Failed says that the
	// target itself failed or shed the call.
	Release func(now time.Time, latency time.Duration, failed bool)
	// ReleaseShed is called instead of Release when the call failed because a
	// call nested in it was refused for overload.
	ReleaseShed func(now time.Time, latency time.Duration)
}

// Choice is the target that a Router picked for an attempt. If OK is false, no
// target could be picked, and Reason says why.
type Choice struct {
	OK     bool
	Reason Reason
	Target string
	VM     string
	// PeerAddress is the host:port at which the node on the VM accepts
	// forwarded calls.
	PeerAddress string
	// Local is set if the target is on the node's own VM.
	Local bool
	// RetryAfter is how long the caller should wait before it retries. It is
	// set only if OK is false.
	RetryAfter time.Duration
}

// Router balances calls over the targets of a service.
type Router interface {
	// Pick chooses a target of the call's service. It picks one of tried only
	// if there is no other.
	Pick(now time.Time, c Call, tried []string) Choice
	// Observe reports the result and the latency of an attempt at a picked
	// target.
	Observe(now time.Time, choice Choice, r Result, latency time.Duration)
}

// Forwarder sends calls to the node on a target's VM.
type Forwarder interface {
	// Forward sends c to the target of choice and returns its result. The
	// result has OutcomeNotRun only if it is certain that the call did not
	// run and will not run.
	Forward(ctx context.Context, choice Choice, c Call) Result
}
