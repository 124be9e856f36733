package fence

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Takeover is a taker's way to its standing. It starts once the taker has
// seen its own record in force.
type Takeover struct {
	// BegunAt is when the taker knew that its record was in force.
	BegunAt time.Time
	// Members are those of the record before, which the new one keeps.
	Members []gage.Process
	// Wait is how long the taker waits once enough members are told, at
	// least Validity and a margin.
	Wait time.Duration
	// NotifiedAt is when enough members had been told, or the zero time.
	NotifiedAt time.Time
	told   map[gage.Process]bool
}

// BeginTakeover returns the takeover at its start.
func BeginTakeover(now time.Time, members []gage.Process, wait time.Duration) Takeover {
	t := Takeover{BegunAt: now, Members: members, Wait: wait, told: make(map[gage.Process]bool)}
	t.count(now)
	return t
}

// MarkNotified notes at now that the process answered was told in place of member. A
// later process on the member's VM will do, since the member itself is gone.
func (t *Takeover) MarkNotified(now time.Time, member, answered gage.Process) {
	same := answered.VM == member.VM && answered.StartedAt >= member.StartedAt
	if !same || !contains(t.Members, member) {
		return
	}
	t.told[member] = true
	t.count(now)
}

// IsNotified reports whether a member need not be told again.
func (t *Takeover) IsNotified(member gage.Process) bool {
	return t.told[member]
}

func (t *Takeover) count(now time.Time) {
	enough := (len(t.Members) + 1) / 2
	if t.NotifiedAt.IsZero() && len(t.told) >= enough {
		t.NotifiedAt = now
	}
}

// Ready reports whether no earlier holder can be in standing at now.
func (t *Takeover) Ready(now time.Time) bool {
	if !t.NotifiedAt.IsZero() && now.Sub(t.NotifiedAt) >= t.Wait {
		return true
	}
	return now.Sub(t.BegunAt) >= MaxStoreReadAge+StoreDriftMargin
}
