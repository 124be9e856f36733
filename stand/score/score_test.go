package score_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
	"github.com/greengagewind/greengagewind/stand/score"
)

const secondMicros = 1_000_000

// steadyAttempts returns the attempts of one workspace that arrive at a constant
// rate from time 0 until untilMicros. It calls answer for each attempt to fill in
// the answer.
func steadyAttempts(workspace, phase string, untilMicros int64, perSecond int, answer func(arrivalMicros int64, s *record.Sent)) []record.Sent {
	var sent []record.Sent
	for micros := int64(0); micros < untilMicros; micros += secondMicros / int64(perSecond) {
		s := record.Sent{
			ID: fmt.Sprintf("%s-%d", workspace, micros), Workspace: workspace, Phase: phase, Keyed: true, Attempt: 1, Last: true,
			ArrivalMicros: micros, SentMicros: micros, ReceivedMicros: micros + 2_000,
		}
		answer(micros, &s)
		sent = append(sent, s)
	}
	return sent
}

func answerWhole(_ int64, s *record.Sent) { s.Status, s.Outcome, s.Whole = 200, "Ran", true }

func answerRefused(_ int64, s *record.Sent) {
	s.Status, s.Outcome, s.Reason = 503, "NotRun", "Overload"
}

func TestRecoveryCountsFromTheEndOfTheTrigger(t *testing.T) {
	phases := []score.Phase{
		{Name: "before", Role: score.RoleBaseline, StartMicros: 0, EndMicros: 5 * secondMicros},
		{Name: "slow", Role: score.RoleTrigger, StartMicros: 5 * secondMicros, EndMicros: 10 * secondMicros},
		{Name: "after", Role: score.RoleRecovery, StartMicros: 10 * secondMicros, EndMicros: 20 * secondMicros},
	}
	answer := func(arrivalMicros int64, s *record.Sent) {
		if arrivalMicros >= 5*secondMicros && arrivalMicros < 12*secondMicros {
			answerRefused(arrivalMicros, s)
			return
		}
		answerWhole(arrivalMicros, s)
	}
	in := score.Input{Sent: steadyAttempts("north", "all", 20*secondMicros, 100, answer), Phases: phases}
	report := score.Compute(in)
	assert.Equal(t, report.RecoveryMillis, int64(2000))
	assert.Equal(t, report.Goodput, 65.0)

	in.Sent = steadyAttempts("north", "all", 20*secondMicros, 100, func(arrivalMicros int64, s *record.Sent) {
		if arrivalMicros < 5*secondMicros {
			answerWhole(arrivalMicros, s)
		}
	})
	assert.Equal(t, score.Compute(in).RecoveryMillis, int64(-1))
	in.Phases = phases[:1]
	assert.Equal(t, score.Compute(in).RecoveryMillis, int64(score.NoTrigger))
}

func TestRefusalsBeyondTheRateDoNotCountAsWithinTheRate(t *testing.T) {
	attemptCount := 0
	refuseEveryOther := func(arrivalMicros int64, s *record.Sent) {
		attemptCount++
		if attemptCount%2 == 0 {
			answerRefused(arrivalMicros, s)
		} else {
			answerWhole(arrivalMicros, s)
		}
	}
	sent := steadyAttempts("over", "p", 10*secondMicros, 100, refuseEveryOther)
	sent = append(sent, steadyAttempts("under", "p", 10*secondMicros, 20, refuseEveryOther)...)
	report := score.Compute(score.Input{
		Sent: sent,
		Limits: map[string]limits.Limit{
			"over":  {Rate: 50, Burst: 2},
			"under": {Rate: 50, Burst: 2},
		},
		Phases: []score.Phase{{Name: "p", Role: score.RolePlain, EndMicros: 10 * secondMicros}},
	})
	assert.Assert(t, report.Workspaces[0].Share > 0.99)
	assert.Assert(t, report.Workspaces[0].RefusedWithin <= 2)
	assert.Equal(t, report.Workspaces[1].Share, 0.5)
	assert.Equal(t, report.Workspaces[1].RefusedWithin, 100)
	assert.Equal(t, report.WorstWorkspace, "under")
}

func TestZoneOutShareCountsEachWorkspaceUpToItsRate(t *testing.T) {
	phases := []score.Phase{{Name: "away", Role: score.RoleZoneOut, EndMicros: 10 * secondMicros}}
	sent := append(
		steadyAttempts("over", "away", 10*secondMicros, 100, answerWhole),
		steadyAttempts("starved", "away", 10*secondMicros, 50, answerRefused)...)
	report := score.Compute(score.Input{
		Sent: sent, Phases: phases,
		Limits: map[string]limits.Limit{"over": {Rate: 50, Burst: 2}, "starved": {Rate: 50, Burst: 2}},
	})
	assert.Assert(t, report.ZoneOutShare > 0.49 && report.ZoneOutShare < 0.51)
}

func TestAddedLatencyExcludesServiceTime(t *testing.T) {
	throughFleet := steadyAttempts("north", "p", secondMicros, 100, func(arrivalMicros int64, s *record.Sent) {
		answerWhole(arrivalMicros, s)
		s.Route, s.ServiceMicros = "look", 500
	})
	direct := steadyAttempts("north", "p", secondMicros, 100, func(arrivalMicros int64, s *record.Sent) {
		answerWhole(arrivalMicros, s)
		s.Route, s.ServiceMicros, s.Direct = "look", 1500, true
	})
	report := score.Compute(score.Input{Sent: append(throughFleet, direct...)})
	assert.Equal(t, report.Added.P50Micros, int64(1000))
	assert.Equal(t, report.Requests, 100)
}

func TestPrintSeparatesColumnsByTabsWithoutATerminal(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, score.Print(&out, score.Compute(score.Input{})))
	assert.Assert(t, strings.Contains(out.String(), "MEASURE\tVALUE\n"))
	assert.Assert(t, strings.Contains(out.String(), "Recovery time, ms\t-\n"))
}
