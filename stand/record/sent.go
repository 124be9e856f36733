package record

// Sent is the callers' log record of one attempt of a request.
type Sent struct {
	// ID identifies the request. Retries and copies of the request have the
	// same ID.
	ID        string `json:"Id"`
	Workspace string
	Phase     string
	// Route is the name of the request in the workspace's request mix.
	Route  string
	Method string
	Path   string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Keyed means that the request carried the API key of the workspace.
	Keyed bool
	// Entry is the base URL of the node or target that the attempt was sent to.
	Entry string
	// Direct means that the attempt was sent to a target, not to a node.
	Direct bool
	// Attempt counts the attempts of a request from 1.
	Attempt int
	// Last means that the caller made no further attempt of the request.
	Last bool
	// ArrivalMicros is the planned arrival of the request. SentMicros and
	// ReceivedMicros are the times at which the attempt was sent and its answer
	// was received. All are Unix times in microseconds.
	ArrivalMicros  int64
	SentMicros     int64
	ReceivedMicros int64
	// Status is the HTTP status of the answer, or 0 when no complete answer
	// arrived.
	Status    int
	Outcome   string
	Reason    string
	RequestID string `json:"RequestId"`
	// Whole means that a complete, successful answer to this request arrived
	// before the deadline.
	Whole bool
	// Violation is the fault in a successful answer, or ViolationNone.
	Violation Violation
	// ServiceMicros is the service time that the target reported.
	ServiceMicros int64
	Error         string
}

// Violation is a fault in an answer with a 2xx status.
type Violation string

// The violations.
const (
	ViolationNone Violation = ""
	// ViolationCrossed means that the answer belongs to another request.
	ViolationCrossed Violation = "Crossed"
	// ViolationTruncated means that the body of the answer is incomplete.
	ViolationTruncated Violation = "Truncated"
)

// OutcomeNotSent is the outcome of a request that was not sent because the
// maximum number of requests was in flight.
const OutcomeNotSent = "NotSent"
