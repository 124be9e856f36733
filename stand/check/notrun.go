package check

import (
	"github.com/greengagewind/greengagewind/gage"
)

// NotRun holds that a refusal that says so is true: no target ran the refused
// attempt, and none ran a request all of whose attempts were refused.
func NotRun(in Input) Finding {
	finding := Finding{Check: "NotRunIsTrue"}
	attempts := make(map[string]string)
	for _, run := range in.Runs {
		attempts[run.RequestID] = run.Target
	}
	mayHaveRun := make(map[string]bool)
	refused := make(map[string]bool)
	for _, attempt := range in.Sent {
		if attempt.Outcome != string(gage.OutcomeNotRun) {
			mayHaveRun[attempt.ID] = true
			continue
		}
		refused[attempt.ID] = true
		finding.Checked++
		if target, ran := attempts[attempt.RequestID]; ran && attempt.RequestID != "" {
			finding.addViolation("%s (%s) was refused as %s and ran at %s",
				attempt.RequestID, attempt.ID, attempt.Reason, target)
		}
	}
	for _, run := range in.Runs {
		if refused[run.ID] && !mayHaveRun[run.ID] {
			finding.addViolation("every attempt of %s was refused, and %s ran it", run.ID, run.Target)
		}
	}
	return finding
}
