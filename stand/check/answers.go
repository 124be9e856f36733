package check

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/record"
)

// Answers checks that for each whole answer some target's run log has a completed
// run. It also checks that no successful answer was truncated or belonged to
// another request.
func Answers(in Input) Finding {
	finding := Finding{Check: "AnswersAreWholeAndOnesOwn"}
	completedRuns := make(map[string]bool)
	for _, run := range in.Runs {
		if run.Result == record.ResultDone {
			completedRuns[run.ID+" "+run.Method+" "+run.Path] = true
		}
	}
	for _, attempt := range in.Sent {
		if attempt.Violation != record.ViolationNone {
			finding.addViolation("the answer to %s was %s", attempt.ID, attempt.Violation)
		}
		if !attempt.Whole {
			continue
		}
		finding.Checked++
		if !completedRuns[attempt.ID+" "+attempt.Method+" "+attempt.Path] {
			finding.addViolation("%s was answered, but no target's run log has a completed run of it", attempt.ID)
		}
	}
	return finding
}

// NoFailures checks a trial without overload and faults. Every attempt must have
// got a whole answer or been refused without running. Every request that a target
// ran must have been completed and answered.
func NoFailures(in Input) Finding {
	finding := Finding{Check: "NothingCut"}
	answeredIDs := make(map[string]bool)
	for _, attempt := range in.Sent {
		finding.Checked++
		if attempt.Whole {
			answeredIDs[attempt.ID] = true
			continue
		}
		if attempt.Outcome != string(gage.OutcomeNotRun) {
			finding.addViolation("%s ended as %s %s with status %d %s",
				attempt.ID, attempt.Outcome, attempt.Reason, attempt.Status, attempt.Error)
		}
	}
	for _, run := range topLevelRuns(in) {
		if run.Result != record.ResultDone || !answeredIDs[run.ID] {
			finding.addViolation("%s ran at %s, ended as %s, and was not answered", run.ID, run.Target, run.Result)
		}
	}
	return finding
}
