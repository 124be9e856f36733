package proof_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/proof"
	"github.com/greengagewind/greengagewind/stand/record"
)

func judgeOf(t *testing.T, point string) func(check.Input) proof.Result {
	t.Helper()
	for _, scenario := range proof.Scenarios() {
		if scenario.Point == point {
			return scenario.Judge
		}
	}
	t.Fatalf("unknown point %s", point)
	return nil
}

func TestRunRejectsUnknownPoint(t *testing.T) {
	var out bytes.Buffer
	err := proof.Run(context.Background(), &proof.Options{
		Only: []string{"Nothing"}, Dir: t.TempDir(), Streams: command.Streams{Out: &out, Err: &out},
	})
	var usage *command.UsageError
	assert.Assert(t, errors.As(err, &usage))
	assert.ErrorContains(t, err, "--only Nothing")
}

func TestRunReportsScenarioThatCouldNotRun(t *testing.T) {
	var out, details bytes.Buffer
	err := proof.Run(context.Background(), &proof.Options{
		Only: []string{"shedlast"}, Dir: t.TempDir(), Examples: t.TempDir(),
		Streams: command.Streams{Out: &out, Err: &details},
	})
	assert.ErrorContains(t, err, "1 of 1 points are not proved")
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("ShedLast              NotRun")), out.String())
	assert.Assert(t, bytes.Contains(details.Bytes(), []byte("read layout")), details.String())
}

func TestJudgeFailsEveryPointOnEmptyLogs(t *testing.T) {
	for _, scenario := range proof.Scenarios() {
		result := scenario.Judge(check.Input{})
		assert.Equal(t, result.Verdict, proof.Failed, scenario.Point)
		assert.Assert(t, len(result.Examples) > 0, scenario.Point)
	}
}

func lodgeAttempt(id, outcome, reason string, micros int64) record.Sent {
	return record.Sent{
		ID: id, Route: "lodge", Method: "POST", Path: "/custody/lodge", RequestID: "a1." + id, Keyed: true,
		Status: 503, Outcome: outcome, Reason: reason, Last: true, ReceivedMicros: micros,
	}
}

func TestAtMostOnceFailsOnSecondRun(t *testing.T) {
	judge := judgeOf(t, "AtMostOnce")
	in := check.Input{
		Runs: []record.Run{{ID: "x", Method: "POST", Path: "/custody/lodge", Target: "custody-1"}},
		Sent: []record.Sent{lodgeAttempt("x", "Ran", "", 1)},
	}
	assert.Equal(t, judge(in).Verdict, proof.Proved)
	in.Runs = append(in.Runs, record.Run{ID: "x", Method: "POST", Path: "/custody/lodge", Target: "custody-2"})
	assert.Equal(t, judge(in).Verdict, proof.Failed)
}

func TestShedLastFailsWhenLodgeIsShedWhileViewsRun(t *testing.T) {
	judge := judgeOf(t, "ShedLast")
	viewAttempt := record.Sent{
		ID: "view", Route: "view", Method: "GET", Path: "/custody/view", Status: 503,
		Outcome: "NotRun", Reason: "Overload", Last: true,
	}
	in := check.Input{
		Runs: []record.Run{{Target: "custody-1", Path: "/custody/view", StartMicros: 4_100_000}},
		Sent: []record.Sent{viewAttempt, lodgeAttempt("early", "NotRun", "Overload", 3_900_000)},
	}
	assert.Equal(t, judge(in).Verdict, proof.Proved)
	in.Sent = append(in.Sent, lodgeAttempt("over", "NotRun", "OverRate", 4_200_000))
	assert.Equal(t, judge(in).Verdict, proof.Proved)
	in.Sent = append(in.Sent, lodgeAttempt("late", "NotRun", "StaleDecision", 4_900_000))
	assert.Equal(t, judge(in).Verdict, proof.Failed)
}

func TestRetriesBoundedAllowsThreeLeafRunsPerAttempt(t *testing.T) {
	in := check.Input{}
	for _, method := range []string{"GET", "POST"} {
		for _, depth := range []string{"3", "5", "17"} {
			id := method + depth
			in.Sent = append(in.Sent, record.Sent{ID: id, Method: method, Path: "/ceremonies/chain/" + depth, Status: 502, Outcome: "Ran"})
			in.Runs = append(in.Runs, record.Run{ID: id, Method: method, Path: "/search/leaf/" + depth})
		}
	}
	judge := judgeOf(t, "RetriesBounded")
	assert.Equal(t, judge(in).Verdict, proof.Proved)
	for range 2 {
		in.Runs = append(in.Runs, record.Run{ID: "GET5", Method: "GET", Path: "/search/leaf/5"})
	}
	assert.Equal(t, judge(in).Verdict, proof.Proved)
	in.Runs = append(in.Runs, record.Run{ID: "GET5", Method: "GET", Path: "/search/leaf/5"})
	assert.Equal(t, judge(in).Verdict, proof.Failed)
}
