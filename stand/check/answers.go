package check

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/record"
)

// Answers holds that each whole answer stands for a run that was done, and
// that no answer that claimed success was truncated or another request's.
func Answers(in Input) Finding {
	finding := Finding{Check: "AnswersAreWholeAndOnesOwn"}
	done := make(map[string]bool)
	for _, run := range in.Runs {
		if run.Result == record.ResultDone {
			done[run.ID+" "+run.Method+" "+run.Path] = true
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
		if !done[attempt.ID+" "+attempt.Method+" "+attempt.Path] {
			finding.addViolation("%s was answered and no target's log holds the run", attempt.ID)
		}
	}
	return finding
}

// NoFailures holds for a trial without overload and faults that no request was cut or
// left in doubt, and that every request that ran was answered.
func NoFailures(in Input) Finding {
	finding := Finding{Check: "NothingCut"}
	answered := make(map[string]bool)
	for _, attempt := range in.Sent {
		finding.Checked++
		if attempt.Whole {
			answered[attempt.ID] = true
			continue
		}
		if attempt.Outcome != string(gage.OutcomeNotRun) {
			finding.addViolation("%s ended as %s %s with status %d %s",
				attempt.ID, attempt.Outcome, attempt.Reason, attempt.Status, attempt.Error)
		}
	}
	for _, run := range topLevel(in) {
		if run.Result != record.ResultDone || !answered[run.ID] {
			finding.addViolation("%s ran at %s, ended as %s, and was not answered", run.ID, run.Target, run.Result)
		}
	}
	return finding
}
