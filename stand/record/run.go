// Package record defines the log records that the stand-ins write and the checks
// read, and reads and writes the log files. A log file has one JSON object per
// line, with keys in Pascal case.
package record

// Result is the way a run at a target ended.
type Result string

// The results.
const (
	// ResultDone means that the target wrote its complete answer.
	ResultDone Result = "Done"
	// ResultFailed means that the target executed the request and answered with
	// an error status.
	ResultFailed Result = "Failed"
	// ResultCanceled means that the caller canceled the request or closed its
	// connection during the run.
	ResultCanceled Result = "Canceled"
	// ResultTruncated means that the target truncated its answer because a fault
	// was injected.
	ResultTruncated Result = "Truncated"
)

// Run is one execution of a request at a target.
type Run struct {
	Target  string
	Service string
	// ID is the ID that the caller put into the request. A nested call carries
	// the ID of the request that led to it.
	ID string `json:"Id"`
	// RequestID is the ID that the fleet gave the request.
	RequestID string `json:"RequestId"`
	Attempt   string
	Workspace string
	Method    string
	Path      string
	Query     string
	// StartMicros and EndMicros are Unix times in microseconds.
	StartMicros int64
	EndMicros   int64
	// Concurrency is the number of runs in progress when this one started,
	// including this one.
	Concurrency int
	// Cold means that the target was cold when the run started.
	Cold bool
	// ColdSlots is the concurrency limit of the target while it is cold.
	ColdSlots int
	// ColdMicros is how long the target had been cold when the run started.
	ColdMicros int64
	// TurnedCold means that the target turned cold after its start, without
	// announcing this.
	TurnedCold bool `json:"Chilled"`
	Header     []Header
	// Body is the request body as received.
	Body string
	// Nested holds the nested calls that the target made during the run.
	Nested []Nested
	Result Result
}

// Header is one header field of a request as received by a target.
type Header struct {
	Name  string
	Value string
}

// Nested is one nested call of a run.
type Nested struct {
	Call string
	// Status is the HTTP status of the answer, or 0 when no answer arrived.
	Status int
	Error  string
}
