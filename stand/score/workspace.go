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
	// Whole counts all whole requests, also those beyond the rate.
	Whole int
	// Share is Whole/Within, at most 1.
	Share float64
	// AttemptsWithin counts the attempts within the rate, including retries.
	AttemptsWithin int
	// Refused counts all refused attempts.
	Refused int
	// RefusedWithin is the number of refused attempts less the number of
	// attempts beyond the rate, computed for each phase, at least 0, and summed.
	RefusedWithin int
}

func scoreWorkspaces(in Input, sent []record.Sent, requests []request) []WorkspaceScore {
	byName := make(map[string]*WorkspaceScore)
	get := func(name string) *WorkspaceScore {
		if byName[name] == nil {
			byName[name] = &WorkspaceScore{Name: name}
		}
		return byName[name]
	}
	for _, r := range requests {
		workspaceScore := get(r.workspace)
		workspaceScore.Requests++
		if r.withinRate {
			workspaceScore.Within++
		}
		if r.whole {
			workspaceScore.Whole++
		}
	}
	countRefusals(in, sent, get)
	scores := make([]WorkspaceScore, 0, len(byName))
	for _, workspaceScore := range byName {
		workspaceScore.Share = min(1, share(workspaceScore.Whole, workspaceScore.Within))
		scores = append(scores, *workspaceScore)
	}
	sort.Slice(scores, func(i, j int) bool { return scores[i].Name < scores[j].Name })
	return scores
}

// countRefusals replays all attempts against the limits. The fleet may choose
// which attempts it refuses when a workspace exceeds its rate. Therefore, in
// each phase, only the refusals that outnumber the workspace's attempts beyond
// the rate count as refusals within the rate.
func countRefusals(in Input, sent []record.Sent, get func(string) *WorkspaceScore) {
	type workspacePhase struct {
		workspace string
		phase     string
	}
	// excess is the number of refusals less the number of attempts beyond the
	// rate.
	excess := make(map[workspacePhase]int)
	buckets := newBuckets(in.Limits)
	for _, attempt := range sortBySendTime(sent) {
		if attempt.Outcome == record.OutcomeNotSent {
			continue
		}
		key := workspacePhase{workspace: attempt.Workspace, phase: attempt.Phase}
		workspaceScore := get(attempt.Workspace)
		if !attempt.Keyed || buckets.take(attempt.Workspace, attempt.SentMicros) {
			workspaceScore.AttemptsWithin++
		} else {
			excess[key]--
		}
		if isRefusal(attempt) {
			workspaceScore.Refused++
			excess[key]++
		}
	}
	for key, refused := range excess {
		get(key.workspace).RefusedWithin += max(0, refused)
	}
}
