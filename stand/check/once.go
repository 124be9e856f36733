package check

import (
	"net/http"

	"github.com/greengagewind/greengagewind/stand/record"
)

// Once checks that no non-idempotent request or nested call ran more than once
// across all run logs. A retry by the caller counts as the same request. A request
// is idempotent if its method is GET or the callers' log marks it as idempotent.
func Once(in Input) Finding {
	finding := Finding{Check: "NonIdempotentRunsAtMostOnce"}
	idempotent := make(map[string]bool)
	for _, attempt := range in.Sent {
		if attempt.Idempotent {
			idempotent[attempt.ID+" "+attempt.Method+" "+attempt.Path] = true
		}
	}
	firstRun := make(map[string]record.Run)
	for _, run := range in.Runs {
		key := run.ID + " " + run.Method + " " + run.Path
		if run.Method == http.MethodGet || idempotent[key] {
			continue
		}
		finding.Checked++
		earlier, ranBefore := firstRun[key]
		if !ranBefore {
			firstRun[key] = run
			continue
		}
		finding.addViolation("%s ran at %s (%s) and at %s (%s)",
			key, earlier.Target, earlier.RequestID, run.Target, run.RequestID)
	}
	return finding
}
