// Package recent holds a node's most recent decisions in memory, so that
// operators can find out why a request was refused and where it ran.
package recent

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	// Refused means that a request was refused before any attempt, or that
	// the node on the target's VM did not run an attempt.
	Refused Kind = "Refused"
	// Admitted is recorded by the node on the target's VM when an attempt that
	// it admitted has ended, with the outcome of the attempt.
	Admitted Kind = "Admitted"
	// Attempted is recorded by the node that received the call when an attempt
	// has ended, with the outcome of the attempt.
	Attempted Kind = "Attempted"
	// Answered is recorded by the node that received the call when it answers
	// the caller, with the outcome of the call.
	Answered Kind = "Answered"
)

// Event is one decision about one request.
type Event struct {
	At        time.Time
	RequestID string
	// RootID is the RequestID of the caller's request that started the chain of
	// nested calls.
	RootID string
	// VM names the VM of the node that made the decision.
	VM    string
	Event Kind
	// Target is "" when no target had been chosen.
	Target string
	// Attempt counts the attempts from 1; it is 0 before the first one.
	Attempt int
	// Outcome and Reason describe the attempt for Admitted and Attempted, and
	// the call otherwise. They may be "".
	Outcome gage.Outcome
	Reason  gage.Reason
	// Detail is one human-readable sentence, or "".
	Detail    string
	Workspace string
	Route     string
}
