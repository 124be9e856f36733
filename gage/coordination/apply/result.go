package apply

import "github.com/greengagewind/greengagewind/gage"

// Outcome is the outcome of an apply.
type Outcome string

const (
	// Applied means that the file is in force as Result.Generation.
	Applied Outcome = "Applied"
	// Superseded means that the file was in force as Result.Generation and that
	// a later file has replaced it since.
	Superseded Outcome = "Superseded"
	// Conflict means that this run did not and never will put the file in
	// force, because another file replaced the base first. An earlier run with
	// the same ID may have put it in force only if at least 16 applies followed
	// that run.
	Conflict Outcome = "Conflict"
	// Invalid means that the file has an error and was not sent to the store.
	Invalid Outcome = "Invalid"
	// TooLarge means that the file exceeds the store's size limit and was not
	// sent.
	TooLarge Outcome = "TooLarge"
	// BadID means that the ID is empty, longer than 64 bytes or has white
	// space.
	BadID Outcome = "BadId"
	// Unknown means that the replies of the store leave open whether the file
	// was put in force. Running again with the same ID, file and base finds
	// out.
	Unknown Outcome = "Unknown"
)

// Result is the result of an apply.
type Result struct {
	Outcome Outcome
	// Generation is the one under which the file was put in force, for Applied
	// and Superseded, and 0 otherwise.
	Generation int64
	// Current is the generation in force as last read from the store, or 0.
	Current int64
	// Detail explains the outcome to the operator in one sentence.
	Detail string
	// Document is the document stored as Generation, for Applied only.
	Document gage.Document `json:"-"`
}
