package check

import (
	"github.com/greengagewind/greengagewind/gage"
)

// NotRun checks the outcome NotRun: no target ran an attempt that was refused
// with this outcome, and no target ran a request if all of its attempts were
// refused with this outcome.
func NotRun(in Input) Finding {
	finding := Finding{Check: "NotRunIsTrue"}
	targetOf := make(map[string]string)
	for _, run := range in.Runs {
		targetOf[run.RequestID] = run.Target
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
		if target, ran := targetOf[attempt.RequestID]; ran && attempt.RequestID != "" {
			finding.addViolation("%s (%s) was refused with reason %s, but ran at %s",
				attempt.RequestID, attempt.ID, attempt.Reason, target)
		}
	}
	for _, run := range in.Runs {
		if refused[run.ID] && !mayHaveRun[run.ID] {
			finding.addViolation("every attempt of %s was refused, but %s ran it", run.ID, run.Target)
		}
	}
	return finding
}
