// Package member holds a node's membership table of the fleet and the rules
// for merging received records into it. Merging the records of one process is
// commutative, associative and idempotent, so that lost, repeated and
// reordered gossip messages do no harm.
package member

import "github.com/greengagewind/greengagewind/gage"

// Verdict is the result of merging a record into the table.
type Verdict string

// The verdicts.
const (
	// VerdictOld means that the record contained nothing new.
	VerdictOld Verdict = "Old"
	// VerdictNew means that the record's VM was not in the table.
	VerdictNew Verdict = "New"
	// VerdictReplaced means that the record is of a later process of a known
	// VM, which replaced the earlier one.
	VerdictReplaced Verdict = "Replaced"
	// VerdictUpdated means that the status or the version of a known process
	// changed.
	VerdictUpdated Verdict = "Updated"
	// VerdictGeneration means that only the configuration generation of a
	// known process changed.
	VerdictGeneration Verdict = "Generation"
	// VerdictUnknown means that the record was ignored: it was a brief record
	// of an unknown process, or it had no VM name or an invalid phase.
	VerdictUnknown Verdict = "Unknown"
	// VerdictFull means that the table has no room for another member.
	VerdictFull Verdict = "Full"
	// VerdictRefuted means that the record was a false or outdated report about
	// this node, and that the node raised its incarnation to override it.
	VerdictRefuted Verdict = "Refuted"
	// VerdictSuperseded means that a later process uses this node's VM name.
	VerdictSuperseded Verdict = "Superseded"
)

// Changed reports whether the merge changed the table in a way that has to be
// gossiped to other nodes.
func (v Verdict) Changed() bool {
	switch v {
	case VerdictNew, VerdictReplaced, VerdictUpdated, VerdictRefuted:
		return true
	}
	return false
}

// PhaseRank returns the precedence of a phase: within one incarnation, a phase
// of a higher rank overrides one of a lower rank. The rank of an unknown phase
// is negative.
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

// statusOverrides reports whether the status of a, which is its incarnation
// and phase, overrides that of b. Both must be records of the same process.
func statusOverrides(a, b gage.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return PhaseRank(a.Phase) > PhaseRank(b.Phase)
}

// mergeMembers merges two records of one process. The result has the newer status,
// the higher version with its payload, and the higher generation of the two. A brief
// record has no version and no payload.
func mergeMembers(old, r gage.Member, brief bool) gage.Member {
	merged := old
	if !brief && r.Version > old.Version {
		merged = r
		merged.Incarnation, merged.Phase = old.Incarnation, old.Phase
	}
	if statusOverrides(r, old) {
		merged.Incarnation, merged.Phase = r.Incarnation, r.Phase
	}
	merged.Generation = max(old.Generation, r.Generation)
	return merged
}
