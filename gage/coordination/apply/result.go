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
	// Conflict means that another file replaced the base first. This run has
	// not put the file in force and will not do so later. An earlier run with
	// the same ID may have done so only if at least 16 applies followed it.
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
	// was put in force. Another run with the same ID, file and base can
	// determine it.
	Unknown Outcome = "Unknown"
)

// Result is the result of an apply.
type Result struct {
	Outcome Outcome
	// Generation is the generation under which the file was put in force. It is
	// 0 unless Outcome is Applied or Superseded.
	Generation int64
	// Current is the generation in force as last read from the store. It is 0
	// if none is in force or the store could not be read.
	Current int64
	// Detail explains the outcome to the operator in one sentence.
	Detail string
	// Document is the document stored as Generation. It is set only if Outcome
	// is Applied.
	Document gage.Document `json:"-"`
}
