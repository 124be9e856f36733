package member

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Merge takes in a record.
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
		return t.replace(now, e, r)
	}
	return t.update(now, e, r)
}

// add takes in a node that is not in the table. A node that is gone already is
// left out, or nodes that forgot it would learn of it again from those that
// did not.
func (t *Table) add(now time.Time, r Record) Verdict {
	e := &Entry{Member: r.Member, PhaseAt: now}
	if e.Gone() {
		return VerdictOld
	}
	if r.Brief {
		return VerdictUnknown
	}
	if len(t.entries) >= MaxMembers && !t.makeRoom() {
		return VerdictFull
	}
	t.insert(e)
	return VerdictNew
}

// makeRoom forgets the node that has been gone for longest.
func (t *Table) makeRoom() bool {
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

func (t *Table) replace(now time.Time, e *Entry, r Record) Verdict {
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

// goneProcess is the record of a later process of which only its end is known.
// Its version of 0 makes every full record of it newer.
func goneProcess(old, r gage.Member) gage.Member {
	m := old
	m.StartedAt, m.Incarnation, m.Phase = r.StartedAt, r.Incarnation, r.Phase
	m.Generation, m.Version, m.Targets = r.Generation, 0, nil
	return m
}

func (t *Table) update(now time.Time, e *Entry, r Record) Verdict {
	old := e.Member
	merged := join(old, r.Member, r.Brief)
	if merged.Version != old.Version || laterStatus(merged, old) {
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

// mergeSelf refutes what others hold against this node. Only the node itself
// raises its incarnation, so nobody's word on it can be later than its own.
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
	case laterStatus(r, own):
		own.Incarnation = r.Incarnation + 1
	default:
		return VerdictOld
	}
	t.set(now, e, own)
	return VerdictRefuted
}

// SetTargets replaces the node's own targets and raises its version.
func (t *Table) SetTargets(now time.Time, targets []gage.TargetRecord) {
	e := t.entries[t.self]
	own := e.Member
	own.Targets = targets
	own.Version++
	t.set(now, e, own)
}

// SetGeneration raises the node's own configuration generation. It has no part
// in the version: a new configuration changes every record at once.
func (t *Table) SetGeneration(now time.Time, generation int64) {
	e := t.entries[t.self]
	own := e.Member
	own.Generation = max(own.Generation, generation)
	t.set(now, e, own)
}

// Leave marks the node itself as left, for good.
func (t *Table) Leave(now time.Time) {
	e := t.entries[t.self]
	own := e.Member
	own.Phase = gage.MemberLeft
	t.set(now, e, own)
}
