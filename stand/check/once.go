package check

import (
	"net/http"

	"github.com/greengagewind/greengagewind/stand/record"
)

// Once holds that no non-idempotent request runs more than once in all run
// logs together, nested requests and callers' repeats included. Requests other
// than GET count as non-idempotent unless the callers say otherwise.
func Once(in Input) Finding {
	finding := Finding{Check: "NonIdempotentRunsAtMostOnce"}
	idempotent := make(map[string]bool)
	for _, attempt := range in.Sent {
		if attempt.Idempotent {
			idempotent[attempt.ID+" "+attempt.Method+" "+attempt.Path] = true
		}
	}
	first := make(map[string]record.Run)
	for _, run := range in.Runs {
		key := run.ID + " " + run.Method + " " + run.Path
		if run.Method == http.MethodGet || idempotent[key] {
			continue
		}
		finding.Checked++
		earlier, twice := first[key]
		if !twice {
			first[key] = run
			continue
		}
		finding.addViolation("%s ran at %s (%s) and at %s (%s)",
			key, earlier.Target, earlier.RequestID, run.Target, run.RequestID)
	}
	return finding
}
