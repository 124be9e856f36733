package check_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

const key = "secret-key-of-north"

// validTrial returns logs that pass every check: a booking with a nested call,
// a lookup that ran twice, a refused request, and a readiness probe. Target t2
// is out of service and has no runs.
func validTrial() check.Input {
	return check.Input{
		Runs: []record.Run{
			run("book", "POST", "/ceremonies/book", "a.1", 1_000_000),
			run("book", "POST", "/calendar/reserve", "a.2", 1_010_000),
			run("look", "GET", "/search/capsules", "a.3", 1_020_000),
			run("look", "GET", "/search/capsules", "a.3", 1_030_000),
			run("probe-1", "GET", "/search/capsules", "a.4", 900_000),
		},
		Sent: []record.Sent{
			sent("book", "POST", "/ceremonies/book", "a.1"),
			sent("look", "GET", "/search/capsules", "a.3"),
			{ID: "late", Workspace: "north", Keyed: true, Method: "POST", Path: "/custody/lodge", RequestID: "a.5", Outcome: "NotRun", Reason: "Overload"},
		},
		Limits:              map[string]limits.Limit{"north": {Name: "north", Rate: 1, Burst: 2}},
		Keys:                map[string]string{"north": key},
		OutOfServicePeriods: []check.OutOfServicePeriod{{Target: "t2", FromMicros: 0, ToMicros: 9_000_000}},
		OutOfServiceGrace:   time.Second,
		ColdGrace:           time.Second,
		ExpectNoFailures:    true,
	}
}

func run(id, method, path, requestID string, startMicros int64) record.Run {
	return record.Run{
		Target: "t1", ID: id, Method: method, Path: path, RequestID: requestID, Workspace: "north",
		StartMicros: startMicros, EndMicros: startMicros + 5_000, Concurrency: 1, ColdSlots: 1, Result: record.ResultDone,
	}
}

func sent(id, method, path, requestID string) record.Sent {
	return record.Sent{
		ID: id, Workspace: "north", Keyed: true, Method: method, Path: path, RequestID: requestID,
		Idempotent: method == "GET", Status: 200, Outcome: "Ran", Whole: true, Last: true,
	}
}

func TestAllFindsNoViolationInAValidTrial(t *testing.T) {
	for _, finding := range check.All(validTrial()) {
		assert.Equal(t, finding.Violations, 0, "%s: %v", finding.Check, finding.Examples)
	}
}

func TestAllFindsEachKindOfViolation(t *testing.T) {
	const secondMicros = 1_000_000
	cases := []struct {
		name   string
		check  string
		modify func(in *check.Input)
	}{
		{"a booking runs twice", "NonIdempotentRunsAtMostOnce", func(in *check.Input) {
			in.Runs = append(in.Runs, run("book", "POST", "/ceremonies/book", "a.9", 5*secondMicros))
		}},
		{"a nested reservation runs twice", "NonIdempotentRunsAtMostOnce", func(in *check.Input) {
			in.Runs = append(in.Runs, run("book", "POST", "/calendar/reserve", "a.9", 5*secondMicros))
		}},
		{"a refused attempt ran", "NotRunIsTrue", func(in *check.Input) {
			in.Runs = append(in.Runs, run("late", "POST", "/custody/lodge", "a.5", 5*secondMicros))
		}},
		{"a refused request ran under another RequestID", "NotRunIsTrue", func(in *check.Input) {
			in.Runs = append(in.Runs, run("late", "POST", "/custody/lodge", "a.77", 5*secondMicros))
		}},
		{"a run for another workspace", "RunsForItsWorkspaceOnly", func(in *check.Input) { in.Runs[1].Workspace = "south" }},
		{"a run without a caller's request", "RunsForItsWorkspaceOnly", func(in *check.Input) { in.Runs[1].ID = "stray" }},
		{"a key in a header", "NoTargetSeesAKey", func(in *check.Input) {
			in.Runs[0].Header = []record.Header{{Name: "Cookie", Value: "k=" + key}}
		}},
		{"a key in a header's name", "NoTargetSeesAKey", func(in *check.Input) {
			in.Runs[0].Header = []record.Header{{Name: "X-Secret-Key-Of-North", Value: "1"}}
		}},
		{"a key in the query", "NoTargetSeesAKey", func(in *check.Input) { in.Runs[0].Query = "key=" + key }},
		{"a key in the body", "NoTargetSeesAKey", func(in *check.Input) { in.Runs[0].Body = key }},
		{"three requests at once with a burst of two", "RateAndBurst", func(in *check.Input) {
			in.Runs = append(in.Runs, run("late", "POST", "/custody/lodge", "a.6", 1_030_001))
		}},
		{"a cold target exceeds its concurrency limit", "ColdTargetsAreSpared", func(in *check.Input) {
			in.Runs[0].Cold, in.Runs[0].Concurrency = true, 2
		}},
		{"a target that turned cold exceeds its limit after the grace period", "ColdTargetsAreSpared", func(in *check.Input) {
			in.Runs[0].Cold, in.Runs[0].TurnedCold = true, true
			in.Runs[0].Concurrency, in.Runs[0].ColdMicros = 2, secondMicros
		}},
		{"a run starts at a target out of service", "NoNewWorkOutOfService", func(in *check.Input) {
			in.Runs[2].Target, in.Runs[2].StartMicros = "t2", secondMicros+1
		}},
		{"an answer to another request", "AnswersAreWholeAndOnesOwn", func(in *check.Input) { in.Sent[1].Violation = record.ViolationCrossed }},
		{"an answer without a completed run", "AnswersAreWholeAndOnesOwn", func(in *check.Input) { in.Runs[0].Result = record.ResultFailed }},
		{"a request with an unknown outcome", "NothingCut", func(in *check.Input) {
			in.Sent[1].Whole, in.Sent[1].Outcome = false, "Unknown"
		}},
		{"a canceled run", "NothingCut", func(in *check.Input) { in.Runs[2].Result = record.ResultCanceled }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := validTrial()
			c.modify(&in)
			assert.Assert(t, countViolations(in)[c.check] > 0)
			assert.ErrorContains(t, check.Verdict(check.All(in)), "found violations")
		})
	}
}

func TestColdGraceCoversOnlyTargetsThatTurnedColdUnannounced(t *testing.T) {
	in := validTrial()
	in.Runs[0].Cold, in.Runs[0].TurnedCold, in.Runs[0].Concurrency = true, true, 5
	in.Runs[0].ColdMicros = time.Second.Microseconds() - 1
	assert.Equal(t, countViolations(in)["ColdTargetsAreSpared"], 0)
	in.Runs[0].TurnedCold = false
	assert.Equal(t, countViolations(in)["ColdTargetsAreSpared"], 1)
}

func TestRateCountsARequestOnceDespiteRetriesByTheFleet(t *testing.T) {
	in := validTrial()
	for range 5 {
		in.Runs = append(in.Runs, run("look", "GET", "/search/capsules", "a.3", 1_040_000))
	}
	assert.Equal(t, countViolations(in)["RateAndBurst"], 0)
}

func TestLowestLevelsReturnsTheExcessAsANegativeLevel(t *testing.T) {
	in := validTrial()
	in.Runs = append(in.Runs, run("late", "POST", "/custody/lodge", "a.6", 1_020_000))
	// Three requests start within 20 ms. The rate is 1 per second and the burst
	// is 2, so the level is 2 + 0.02 - 3.
	assert.Equal(t, check.LowestLevels(in)["north"], -0.98)
}

// countViolations returns the number of violations by check.
func countViolations(in check.Input) map[string]int {
	violationsByCheck := make(map[string]int)
	for _, finding := range check.All(in) {
		violationsByCheck[finding.Check] = finding.Violations
	}
	return violationsByCheck
}
