package score

import (
	"sort"

	"github.com/greengagewind/greengagewind/stand/record"
)

// WorkspaceScore holds the measures of one workspace.
type WorkspaceScore struct {
	Name     string
	Requests int
	// Within counts the requests within the rate and burst.
	Within int
	// Whole counts all whole requests, including those beyond the rate.
	Whole int
	// Share is Whole/Within, at most 1.
	Share float64
	// AttemptsWithin counts the attempts within the rate, including retries.
	AttemptsWithin int
	// Refused counts all refused attempts.
	Refused int
	// RefusedWithin is the sum over all phases of the number of refused attempts
	// less the number of attempts beyond the rate. A phase in which this
	// difference is negative adds 0.
	RefusedWithin int
}

func scoreWorkspaces(in Input, sent []record.Sent, requests []request) []WorkspaceScore {
	byName := make(map[string]*WorkspaceScore)
	scoreOf := func(name string) *WorkspaceScore {
		if byName[name] == nil {
			byName[name] = &WorkspaceScore{Name: name}
		}
		return byName[name]
	}
	for _, r := range requests {
		workspaceScore := scoreOf(r.workspace)
		workspaceScore.Requests++
		if r.withinRate {
			workspaceScore.Within++
		}
		if r.whole {
			workspaceScore.Whole++
		}
	}
	countRefusals(in, sent, scoreOf)
	scores := make([]WorkspaceScore, 0, len(byName))
	for _, workspaceScore := range byName {
		workspaceScore.Share = min(1, share(workspaceScore.Whole, workspaceScore.Within))
		scores = append(scores, *workspaceScore)
	}
	sort.Slice(scores, func(i, j int) bool { return scores[i].Name < scores[j].Name })
	return scores
}

// countRefusals fills in the fields of the scores that count attempts. It uses
// token buckets to decide which attempts were within the rate. When a workspace
// exceeds its rate, the fleet may choose which attempts it refuses. Therefore, in
// each phase, refusals count as refusals within the rate only as far as they
// outnumber the workspace's attempts beyond the rate.
func countRefusals(in Input, sent []record.Sent, scoreOf func(string) *WorkspaceScore) {
	type workspacePhase struct {
		workspace string
		phase     string
	}
	// excessRefusals is the number of refusals less the number of attempts beyond
	// the rate.
	excessRefusals := make(map[workspacePhase]int)
	buckets := newBuckets(in.Limits)
	for _, attempt := range sortBySendTime(sent) {
		if attempt.Outcome == record.OutcomeNotSent {
			continue
		}
		key := workspacePhase{workspace: attempt.Workspace, phase: attempt.Phase}
		workspaceScore := scoreOf(attempt.Workspace)
		if !attempt.Keyed || buckets.take(attempt.Workspace, attempt.SentMicros) {
			workspaceScore.AttemptsWithin++
		} else {
			excessRefusals[key]--
		}
		if isRefusal(attempt) {
			workspaceScore.Refused++
			excessRefusals[key]++
		}
	}
	for key, excess := range excessRefusals {
		scoreOf(key.workspace).RefusedWithin += max(0, excess)
	}
}
