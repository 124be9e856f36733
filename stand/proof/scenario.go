package proof

import (
	"context"
	"fmt"

	"github.com/greengagewind/greengagewind/stand/check"
)

// Scenario injects the failures that could break one guarantee and evaluates
// the logs.
type Scenario struct {
	// Point is the name of the guarantee, as printed and as given with --only.
	Point string
	// Prepare, when not nil, changes the layout and the configuration before
	// the fleet starts.
	Prepare func(h *Harness)
	// Run sends load to the running fleet and injects the faults.
	Run func(ctx context.Context, h *Harness) error
	// Judge evaluates the logs after the fleet has stopped.
	Judge func(in check.Input) Result
}

// Scenarios returns every scenario. A scenario keeps the state of its run and
// can run only once.
func Scenarios() []Scenario {
	return []Scenario{
		atMostOnce(),
		notRunIsTrue(),
		keysAndWorkspaces(),
		keyWithdrawn(),
		keyWithdrawnAtStore(),
		rateOverFleet(),
		configNeverReverts(),
		zoneOut(),
		targetLeaves(),
		gracefulStops(),
		coldTarget(),
		retriesBounded(),
		shedLast(),
		wholeAnswers(),
	}
}

// Verdict is the result of a scenario.
type Verdict string

// The verdicts.
const (
	Proved Verdict = "Proved"
	Failed Verdict = "Failed"
	// NotRun means that the scenario or the reading of its logs was aborted by
	// an error.
	NotRun Verdict = "NotRun"
)

// Result is the verdict on one point.
type Result struct {
	Verdict Verdict
	// Figure is a phrase that states the measured values.
	Figure string
	// Examples holds the first violations, at most maxExamples.
	Examples []string
}

const maxExamples = 8

func notRun(err error) Result {
	return Result{Verdict: NotRun, Figure: "-", Examples: []string{err.Error()}}
}

// judge returns Proved unless a finding has violations or its check found
// nothing to examine.
func judge(findings ...check.Finding) Result {
	result := Result{Verdict: Proved}
	for _, finding := range findings {
		if finding.Checked == 0 {
			result.fail("%s: nothing to check", finding.Check)
		}
		if finding.Violations > 0 {
			result.fail("%s: %d violations among %d", finding.Check, finding.Violations, finding.Checked)
		}
		for _, example := range finding.Examples {
			result.fail("%s: %s", finding.Check, example)
		}
	}
	return result
}

// requireNone fails the result if the finding has violations. Unlike judge, it
// accepts a check that found nothing to examine, such as NotRun without any
// refused request.
func (r *Result) requireNone(finding check.Finding) {
	r.require(finding.Violations == 0, "%s: %d violations among %d: %v",
		finding.Check, finding.Violations, finding.Checked, finding.Examples)
}

// require fails the result with the formatted message unless ok.
func (r *Result) require(ok bool, format string, args ...any) {
	if !ok {
		r.fail(format, args...)
	}
}

func (r *Result) fail(format string, args ...any) {
	r.Verdict = Failed
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}
