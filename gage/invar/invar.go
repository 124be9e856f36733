// Package invar checks invariants at run time. A violation terminates the
// process, because continuing could execute a request twice or let a caller
// exceed its limits. A panic would not be enough, because net/http recovers
// panics in handlers.
package invar

import (
	"fmt"
	"os"
	"strings"
)

// ExitCode is the exit code of a process that is terminated by Check.
const ExitCode = 70

// Exit terminates the process with an exit code. Tests may replace it.
var Exit = os.Exit

// Check terminates the process with ExitCode when ok is false. Before that, it
// writes one logfmt line to standard error with the name of the invariant and
// the evidence, which is a list of alternating keys and values.
func Check(ok bool, invariant string, evidence ...any) {
	if ok {
		return
	}
	var line strings.Builder
	fmt.Fprintf(&line, "Level=fatal Event=InvariantBroken Invariant=%q", invariant)
	for i := 0; i+1 < len(evidence); i += 2 {
		fmt.Fprintf(&line, " %v=%q", evidence[i], fmt.Sprint(evidence[i+1]))
	}
	fmt.Fprintln(os.Stderr, line.String())
	Exit(ExitCode)
}
