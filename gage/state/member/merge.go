package member

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Merge merges a received record into the table.
func (t *Table) Merge(now time.Time, r Record) Verdict {
	if r.Member.VM == "" || PhaseRank(r.Member.Phase) < 0 {
		return VerdictUnknown
	}
	if r.Member.VM == t.self {
		return t.mergeSelf(now, r.Member)
	}
	e, ok := t.entries[r.Member.VM]
	if !ok {
		return t.add(now, r)
	}
	if r.Member.StartedAt != e.Member.StartedAt {
		return t.mergeOtherProcess(now, e, r)
	}
	return t.mergeSameProcess(now, e, r)
}

// add inserts a member that is not in the table. Members that are dead or have left
// are not inserted. Otherwise a node that has removed such a member would receive it
// again from nodes that have not removed it yet.
func (t *Table) add(now time.Time, r Record) Verdict {
	e := &Entry{Member: r.Member, PhaseAt: now}
	if e.Gone() {
		return VerdictOld
	}
	if r.Brief {
		return VerdictUnknown
	}
	if len(t.entries) >= MaxMembers && !t.evictGone() {
		return VerdictFull
	}
	t.insert(e)
	return VerdictNew
}

// evictGone removes the member that has been dead or left for the longest
// time. It returns false when there is none.
func (t *Table) evictGone() bool {
	var oldest *Entry
	for _, e := range t.gone {
		if e.Member.VM != t.self && (oldest == nil || e.PhaseAt.Before(oldest.PhaseAt)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.Remove(oldest.Member.VM)
	return true
}

// mergeOtherProcess merges a record of a different process of a known VM. The
// process that started later wins.
func (t *Table) mergeOtherProcess(now time.Time, e *Entry, r Record) Verdict {
	if r.Member.StartedAt < e.Member.StartedAt {
		return VerdictOld
	}
	if !r.Brief {
		t.set(now, e, r.Member)
		return VerdictReplaced
	}
	if PhaseRank(r.Member.Phase) < PhaseRank(gage.MemberDead) {
		return VerdictUnknown
	}
	t.set(now, e, goneProcess(e.Member, r.Member))
	return VerdictReplaced
}

// goneProcess returns the member for a later process of which only a brief
// dead or left record is known. Its Version is 0, so that any full record of
// that process is newer.
func goneProcess(old, r gage.Member) gage.Member {
	m := old
	m.StartedAt, m.Incarnation, m.Phase = r.StartedAt, r.Incarnation, r.Phase
	m.Generation, m.Version, m.Targets = r.Generation, 0, nil
	return m
}

// mergeSameProcess merges a record of the process that the table holds.
func (t *Table) mergeSameProcess(now time.Time, e *Entry, r Record) Verdict {
	old := e.Member
	merged := mergeMembers(old, r.Member, r.Brief)
	if merged.Version != old.Version || statusOverrides(merged, old) {
		t.set(now, e, merged)
		return VerdictUpdated
	}
	if merged.Generation != old.Generation {
		e.Member.Generation = merged.Generation
		t.GenerationChanges++
		return VerdictGeneration
	}
	return VerdictOld
}

// mergeSelf merges a record about this node that a peer sent. Only the node
// itself raises its incarnation, so a record that would override its own status
// is false or outdated. The node refutes it by raising its incarnation above
// that of the record. A record of a process with a later start time supersedes
// this process if Joined is set, and is refuted otherwise.
func (t *Table) mergeSelf(now time.Time, r gage.Member) Verdict {
	e := t.entries[t.self]
	own := e.Member
	switch {
	case own.Phase == gage.MemberLeft || r.StartedAt < own.StartedAt:
		return VerdictOld
	case r.StartedAt > own.StartedAt && t.Joined:
		return VerdictSuperseded
	case r.StartedAt > own.StartedAt:
		own.StartedAt = r.StartedAt + 1
		own.Incarnation = max(own.Incarnation, r.Incarnation+1, uint64(own.StartedAt))
	case statusOverrides(r, own):
		own.Incarnation = r.Incarnation + 1
	default:
		return VerdictOld
	}
	t.set(now, e, own)
	return VerdictRefuted
}

// SetTargets replaces the node's own targets and increments its Version.
func (t *Table) SetTargets(now time.Time, targets []gage.TargetRecord) {
	e := t.entries[t.self]
	own := e.Member
	own.Targets = targets
	own.Version++
	t.set(now, e, own)
}

// SetGeneration raises the node's own configuration generation; a lower value
// leaves it unchanged. Version does not change. Otherwise each new configuration
// would cause the full records of all nodes to be sent again.
func (t *Table) SetGeneration(now time.Time, generation int64) {
	e := t.entries[t.self]
	own := e.Member
	own.Generation = max(own.Generation, generation)
	t.set(now, e, own)
}

// Leave marks the node itself as left. It cannot be undone.
func (t *Table) Leave(now time.Time) {
	e := t.entries[t.self]
	own := e.Member
	own.Phase = gage.MemberLeft
	t.set(now, e, own)
}
