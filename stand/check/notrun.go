package check

import (
	"github.com/greengagewind/greengagewind/gage"
)

// NotRun checks that no target ran an attempt that was refused with the outcome
// NotRun. It also checks that no target ran a request all of whose attempts were
// refused with this outcome.
func NotRun(in Input) Finding {
	finding := Finding{Check: "NotRunIsTrue"}
	targetByRequestID := make(map[string]string)
	for _, run := range in.Runs {
		targetByRequestID[run.RequestID] = run.Target
	}
	mayHaveRun := make(map[string]bool)
	refusedIDs := make(map[string]bool)
	for _, attempt := range in.Sent {
		if attempt.Outcome != string(gage.OutcomeNotRun) {
			mayHaveRun[attempt.ID] = true
			continue
		}
		refusedIDs[attempt.ID] = true
		finding.Checked++
		if target, ran := targetByRequestID[attempt.RequestID]; ran && attempt.RequestID != "" {
			finding.addViolation("%s (%s) was refused with reason %s, but ran at %s",
				attempt.RequestID, attempt.ID, attempt.Reason, target)
		}
	}
	for _, run := range in.Runs {
		if refusedIDs[run.ID] && !mayHaveRun[run.ID] {
			finding.addViolation("every attempt of %s was refused, but %s ran it", run.ID, run.Target)
		}
	}
	return finding
}
