// Package score computes the measures of a trial from the attempts that the
// callers logged: goodput, recovery time, the success share of the worst-served
// workspace, refusals within a workspace's rate, and the success share while an
// availability zone is out of service. A request counts as whole when one of
// its attempts got a complete, correct answer in time (see record.Sent.Whole).
// The package reads no clock.
package score

import (
	"fmt"
	"sort"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

// Role is the purpose of a phase in the measures.
type Role string

// The roles.
const (
	// RolePlain phases have no special part in the measures.
	RolePlain Role = "Plain"
	// RoleBaseline phases precede the disturbance. Their success share is the
	// baseline with which windows after the disturbance are compared.
	RoleBaseline Role = "Baseline"
	// RoleTrigger phases contain the disturbance. The recovery time is measured
	// from the end of the last trigger phase.
	RoleTrigger Role = "Trigger"
	// RoleRecovery phases follow a trigger phase. The measures treat them like
	// RolePlain phases.
	RoleRecovery Role = "Recovery"
	// RoleZoneOut phases are those in which an availability zone is taken out
	// of service and put back.
	RoleZoneOut Role = "ZoneOut"
)

// Check returns an error for an unknown role.
func (r Role) Check() error {
	switch r {
	case RolePlain, RoleBaseline, RoleTrigger, RoleRecovery, RoleZoneOut:
		return nil
	}
	return fmt.Errorf("Role %q is none of Plain, Baseline, Trigger, Recovery, ZoneOut", r)
}

// Phase is one of the consecutive periods of a trial.
type Phase struct {
	Name string
	Role Role
	// StartMicros and EndMicros are Unix times in microseconds.
	StartMicros int64
	EndMicros   int64
}

// Input holds the attempts, limits and phases that Compute uses.
type Input struct {
	Sent []record.Sent
	// Limits holds the rate limits by workspace.
	Limits map[string]limits.Limit
	Phases []Phase
}

// Report holds the measures.
type Report struct {
	// Goodput is the number of whole requests per second over all phases.
	Goodput float64
	// RecoveryMillis is the time from the end of the last trigger phase until the
	// fleet recovered. It is -1 if the fleet did not recover, and NoTrigger if
	// there is no trigger phase.
	RecoveryMillis int64
	// WorstWorkspace is the workspace with the smallest WorkspaceScore.Share.
	WorstWorkspace string
	// WorstShare is the WorkspaceScore.Share of WorstWorkspace.
	WorstShare float64
	// RefusedWithinRate is the number of refusals within the rate divided by
	// the number of attempts within the rate, over all workspaces.
	RefusedWithinRate float64
	// ZoneOutShare is the share of the requests within the rate that were whole,
	// in the phases with RoleZoneOut. It is -1 if these phases had no requests
	// within the rate.
	ZoneOutShare float64
	// Requests and Attempts are the numbers of requests and attempts sent through
	// the fleet. Those sent directly to a target are not included.
	Requests int
	Attempts int
	// Crossed and Truncated count the attempts with ViolationCrossed and
	// ViolationTruncated, including direct attempts.
	Crossed    int
	Truncated  int
	Added      AddedLatency
	Phases     []PhaseScore
	Workspaces []WorkspaceScore
	Counts     []Count
}

// NoTrigger is the RecoveryMillis of a trial without a trigger phase.
const NoTrigger = -2

// Count is the number of attempts with the same outcome, reason and status.
type Count struct {
	Outcome string
	Reason  string
	Status  int
	Number  int
}

// Compute returns the measures. It sorts in.Sent by planned arrival.
func Compute(in Input) Report {
	sort.SliceStable(in.Sent, func(i, j int) bool { return in.Sent[i].ArrivalMicros < in.Sent[j].ArrivalMicros })
	fleet, direct := splitDirect(in.Sent)
	requests := joinAttempts(fleet, in.Limits)
	report := Report{Requests: len(requests), Attempts: len(fleet)}
	report.Phases = scorePhases(in.Phases, requests)
	report.Workspaces = scoreWorkspaces(in, fleet, requests)
	report.Counts = countOutcomes(fleet)
	report.Added = addedLatency(fleet, direct)
	report.RecoveryMillis = recoveryMillis(in.Phases, requests)
	report.ZoneOutShare = roleShare(in.Phases, requests, RoleZoneOut)
	report.Goodput = goodput(in.Phases, requests)
	for _, attempt := range in.Sent {
		switch attempt.Violation {
		case record.ViolationCrossed:
			report.Crossed++
		case record.ViolationTruncated:
			report.Truncated++
		}
	}
	summarizeWorkspaces(&report)
	return report
}

// summarizeWorkspaces fills in the measures over all workspaces.
func summarizeWorkspaces(report *Report) {
	report.WorstShare = 1
	refused, within := 0, 0
	for _, workspace := range report.Workspaces {
		refused += workspace.RefusedWithin
		within += workspace.AttemptsWithin
		if workspace.Share < report.WorstShare || report.WorstWorkspace == "" {
			report.WorstWorkspace = workspace.Name
			report.WorstShare = workspace.Share
		}
	}
	report.RefusedWithinRate = share(refused, within)
}

// splitDirect separates the attempts sent through the fleet from those sent
// directly to a target.
func splitDirect(sent []record.Sent) (fleet, direct []record.Sent) {
	for _, attempt := range sent {
		if attempt.Direct {
			direct = append(direct, attempt)
		} else {
			fleet = append(fleet, attempt)
		}
	}
	return fleet, direct
}

// countOutcomes counts the attempts by outcome, reason and status. The counts with
// the largest Number are first.
func countOutcomes(sent []record.Sent) []Count {
	numbers := make(map[Count]int)
	for _, attempt := range sent {
		numbers[Count{Outcome: attempt.Outcome, Reason: attempt.Reason, Status: attempt.Status}]++
	}
	counts := make([]Count, 0, len(numbers))
	for count, number := range numbers {
		count.Number = number
		counts = append(counts, count)
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Number != counts[j].Number {
			return counts[i].Number > counts[j].Number
		}
		return fmt.Sprint(counts[i]) < fmt.Sprint(counts[j])
	})
	return counts
}

func isRefusal(attempt record.Sent) bool {
	return attempt.Outcome == string(gage.OutcomeNotRun)
}

// share returns part/total, or 0 when total is 0.
func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}
