// Package member holds the table of the fleet's nodes and the rules by which
// two accounts of one node are merged. For a known process merging is
// commutative, associative and idempotent, so that lost, repeated and reordered
// messages do no harm.
package member

import "github.com/greengagewind/greengagewind/gage"

// Verdict tells what merging a record changed.
type Verdict string

// The verdicts.
const (
	// VerdictOld means that the record told nothing new.
	VerdictOld Verdict = "Old"
	// VerdictNew means that the node was unknown.
	VerdictNew Verdict = "New"
	// VerdictReplaced means that a later process took the VM's name.
	VerdictReplaced Verdict = "Replaced"
	// VerdictUpdated means that a known process changed.
	VerdictUpdated Verdict = "Updated"
	// VerdictGeneration means that only the configuration generation of a
	// known process changed.
	VerdictGeneration Verdict = "Generation"
	// VerdictUnknown means that a brief record named an unknown process, or
	// that the record makes no sense.
	VerdictUnknown Verdict = "Unknown"
	// VerdictFull means that the table has no room for another node.
	VerdictFull Verdict = "Full"
	// VerdictRefuted means that others held this node for suspect or dead and
	// its incarnation was raised.
	VerdictRefuted Verdict = "Refuted"
	// VerdictSuperseded means that a later process bears this node's VM name.
	VerdictSuperseded Verdict = "Superseded"
)

// Changed tells whether the table differs after the merge in what others must
// hear.
func (v Verdict) Changed() bool {
	switch v {
	case VerdictNew, VerdictReplaced, VerdictUpdated, VerdictRefuted:
		return true
	}
	return false
}

// PhaseRank orders the phases of one incarnation: a higher one overrides. An
// unknown phase has a negative rank.
func PhaseRank(p gage.MemberPhase) int {
	switch p {
	case gage.MemberAlive:
		return 0
	case gage.MemberSuspect:
		return 1
	case gage.MemberDead:
		return 2
	case gage.MemberLeft:
		return 3
	}
	return -1
}

// laterStatus tells whether a's phase overrides b's in the same process.
func laterStatus(a, b gage.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return PhaseRank(a.Phase) > PhaseRank(b.Phase)
}

// join merges two accounts of one process: the later status, the later
// version, and the highest generation, each by itself.
func join(old, r gage.Member, brief bool) gage.Member {
	merged := old
	if !brief && r.Version > old.Version {
		merged = r
		merged.Incarnation, merged.Phase = old.Incarnation, old.Phase
	}
	if laterStatus(r, old) {
		merged.Incarnation, merged.Phase = r.Incarnation, r.Phase
	}
	merged.Generation = max(old.Generation, r.Generation)
	return merged
}
