// Package record holds the logs that the stand-ins write and the checks read:
// one JSON object a line, with keys in Pascal case.
package record

// Result is how a run at a target ended.
type Result string

// The results.
const (
	// ResultDone means that the whole answer was written.
	ResultDone Result = "Done"
	// ResultFailed means that the target answered with a failure after running.
	ResultFailed Result = "Failed"
	// ResultCanceled means that the caller went away during the run.
	ResultCanceled Result = "Canceled"
	// ResultTruncated means that the target cut its answer on purpose.
	ResultTruncated Result = "Truncated"
)

// Run is one execution of a request at a target.
type Run struct {
	Target  string
	Service string
	// ID is the identity that the caller put in the request; nested calls
	// carry the identity of the request they serve.
	ID        string `json:"Id"`
	RequestID string `json:"RequestId"`
	Attempt   string
	Workspace string
	Method    string
	Path      string
	Query     string
	// StartMicros and EndMicros are Unix times in microseconds.
	StartMicros int64
	EndMicros   int64
	// Concurrency counts the runs in progress when this one began, itself
	// included.
	Concurrency int
	// Cold tells that the target was cold when the run began; ColdSlots is
	// what it then bears.
	Cold      bool
	ColdSlots int
	// ColdMicros is for how long it had been cold. Chilled tells that it
	// turned cold during its life, without a word to anyone.
	ColdMicros int64
	TurnedCold bool `json:"Chilled"`
	Header     []Header
	// Body is the request body as received.
	Body   string
	Nested []Nested
	Result Result
}

// Header is one header line that reached a target.
type Header struct {
	Name  string
	Value string
}

// Nested is one call that a target made while it served a run.
type Nested struct {
	Call   string
	Status int
	Error  string
}
