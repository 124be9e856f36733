package gage

import "time"

// Call is one request on its way through the fleet.
type Call struct {
	// RequestID is unique for each caller's request and each nested call.
	RequestID string
	// RootID is the RequestID of the caller's request at the head of the chain.
	RootID string
	// Attempt counts from 1 and grows with each retry of this call.
	Attempt int
	// Depth is 1 for a caller's request and one more for each nested call.
	Depth int
	// Workspace is "" exactly on open routes.
	Workspace  string
	Route      string
	Service    string
	Importance Importance
	Idempotent bool
	// AfterUnknownOutcome tells that an ancestor of this call, or the call itself,
	// is a second or later attempt after an unknown outcome.
	AfterUnknownOutcome bool
	// IdempotencyKey is the caller's, or "".
	IdempotencyKey string
	Method         string
	// Path is the escaped path with its query.
	Path   string
	Header []Header
	// Body is at most MaxBodyBytes long.
	Body []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AdmitBy is when the decisions taken for this call (key, quota, route)
	// become too old to act on: no byte goes to a target after it.
	AdmitBy time.Time
	// RetryBudget is how many retries the call and all calls nested in it may
	// still make together.
	RetryBudget int
	// TraceParent is the W3C trace context of the hop before.
	TraceParent string
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Result is what became of a Call.
type Result struct {
	Outcome Outcome
	// Reason is ReasonNone exactly when the target's answer is here.
	Reason Reason
	// Detail is one sentence for people.
	Detail string
	// Status is the HTTP status of the target's answer, or 0.
	Status int
	Header []Header
	Body   []byte
	// RetryAfter is how long a caller should wait before trying again, or 0.
	RetryAfter time.Duration
	// Target and VM name where the call ran or was refused, or "".
	Target string
	VM     string
	// RetryBudget is what is left of the call's budget; it never exceeds what
	// the call was given.
	RetryBudget int
	// NestedSideEffects tells that the target made nested non-idempotent calls.
	NestedSideEffects bool
	// Load is the load of the target as its node saw it, if a target was met.
	Load Load
}

// Refused returns the result of a call that did not run and will not.
func Refused(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Load describes one target as the node beside it measures it.
type Load struct {
	// Limit is the admitted concurrency, above 0 when known.
	Limit int
	// InFlight is at most Limit.
	InFlight int
	// Queued is the length of the admission queue.
	Queued int
	// ShedRank is the lowest importance rank being shed: calls with a rank of
	// ShedRank or above are refused at present. len(Importances) sheds none.
	ShedRank int
	// Latency is a moving average of the target's service time.
	Latency time.Duration
}

// MaxBodyBytes bounds request and answer bodies.
const MaxBodyBytes = 1 << 20
