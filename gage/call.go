package gage

import "time"

// Call is one request that the fleet forwards: a caller's request, or a
// nested call that a target makes while it serves another call.
type Call struct {
	// RequestID is unique for each caller's request and each nested call.
	RequestID string
	// RootID is the RequestID of the caller's request from which this call
	// descends; for that request itself it equals RequestID.
	RootID string
	// Attempt is 1 for the first attempt of this call and grows by one with
	// each retry.
	Attempt int
	// Depth is 1 for a caller's request; a nested call has its parent's depth
	// plus 1.
	Depth int
	// Workspace is the workspace of the caller's API key. It is "" exactly if
	// the route of the caller's request is open.
	Workspace  string
	Route      string
	Service    string
	Importance Importance
	Idempotent bool
	// AfterUnknownOutcome is set when this call, or a call that it is nested
	// in, is a retry after an attempt whose outcome was unknown.
	AfterUnknownOutcome bool
	// IdempotencyKey is the idempotency key sent by the caller, or "".
	IdempotencyKey string
	Method         string
	// Path is the escaped path with its query.
	Path   string
	Header []Header
	// Body is at most MaxBodyBytes long.
	Body []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AdmitBy is when the decisions made for this call (API key, quota and
	// route) expire. After AdmitBy no byte of the call is sent to a target.
	AdmitBy time.Time
	// RetryBudget is the total number of retries that the call and all calls
	// nested in it may still make.
	RetryBudget int
	// TraceParent is the W3C traceparent header of the previous hop.
	TraceParent string
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Result is the result of a Call: a target's answer, a refusal or a failure.
type Result struct {
	Outcome Outcome
	// Reason is ReasonNone exactly if the result holds a target's answer.
	Reason Reason
	// Detail explains Reason in one sentence for human readers.
	Detail string
	// Status is the HTTP status of the target's answer, or 0 if there is none.
	Status int
	Header []Header
	Body   []byte
	// RetryAfter is how long a caller should wait before it retries, or 0 if
	// no wait is suggested.
	RetryAfter time.Duration
	// Target is the name of the target at which the call ran or was refused,
	// and VM the name of its VM. Both are "" if the call was sent to no target.
	Target string
	VM     string
	// RetryBudget is the unused part of Call.RetryBudget, never more than it.
	RetryBudget int
	// NestedSideEffects is set when a non-idempotent nested call of this call
	// ran or may have run.
	NestedSideEffects bool
	// Load is the target's load as the node on its VM measured it. It is zero
	// if the call did not reach that node.
	Load Load
}

// Refused returns the result of a call that was refused before it ran. Its
// Outcome is OutcomeNotRun.
func Refused(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Load is the load of one target as the node on the same VM measures it.
type Load struct {
	// Limit is the concurrency limit, or 0 if it is not known.
	Limit int
	// InFlight is the number of calls that run at the target.
	InFlight int
	// Queued is the length of the admission queue.
	Queued int
	// ShedRank is the lowest rank number (see Importance.Rank) that is shed at
	// present. Calls with this or a higher rank number, which are less
	// important, are refused. len(Importances) means that none are shed.
	ShedRank int
	// Latency is an exponential moving average of the target's service time.
	Latency time.Duration
}

// MaxBodyBytes is the maximum size of a request body and of an answer body.
const MaxBodyBytes = 1 << 20
