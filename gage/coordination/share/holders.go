package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The delays before a takeover, counted from when the vacancy was detected, and
// the limits on which processes may start one.
const (
	// missingHolderDelay applies when the holder is not in the membership at
	// all, which may be because gossip has not reached this process yet.
	missingHolderDelay = 5 * time.Second
	// rankDelay is the additional delay per rank, so that normally only the
	// preferred candidate calls the store.
	rankDelay = 2 * time.Second
	// rankInterval is the time between two computations of this process's rank.
	rankInterval = 2 * time.Second
	// maxRank is the number of candidates that may call the store for one slot.
	maxRank = 4
	// unreachableMembersDelay is the delay after which a candidate starts a
	// takeover even if too few confirming members are reachable.
	unreachableMembersDelay = time.Minute
)

// updateVacancies records which slots have no running holder, and since when.
func (k *Keeper) updateVacancies(now time.Time) {
	for shard := range k.records {
		for slot, s := range k.records[shard].record.Slots {
			id := slotID{shard: shard, slot: slot}
			if !k.isVacant(s.Holder) {
				delete(k.vacancies, id)
				continue
			}
			k.updateVacancy(now, id)
		}
	}
}

// vacancy describes a slot without a running holder.
type vacancy struct {
	since time.Time
	// rank is this process's rank among the candidates, computed at rankedAt.
	rank     int
	rankedAt time.Time
}

// updateVacancy adds or updates a vacancy. It computes the rank only once per
// rankInterval, since the computation iterates over the whole membership.
func (k *Keeper) updateVacancy(now time.Time, id slotID) {
	vacant, ok := k.vacancies[id]
	if !ok {
		vacant.since = now
	}
	if !ok || now.Sub(vacant.rankedAt) >= rankInterval {
		vacant.rank = k.ownRank(id)
		vacant.rankedAt = now
	}
	k.vacancies[id] = vacant
}

// isVacant reports whether a slot with this holder has no running holder: the VM
// is unknown, runs a later process, or is dead or has left.
func (k *Keeper) isVacant(holder gage.Process) bool {
	m, ok := k.byVM[holder.VM]
	if !ok || m.StartedAt > holder.StartedAt {
		return true
	}
	return m.Phase == gage.MemberDead || m.Phase == gage.MemberLeft
}

// mayTakeOver reports whether this process may start a takeover of a slot at
// now. A candidate waits longer the more candidates are preferred to it.
func (k *Keeper) mayTakeOver(now time.Time, id slotID) bool {
	vacant, ok := k.vacancies[id]
	if !ok {
		return false
	}
	since := vacant.since
	s := k.records[id.shard].record.Slots[id.slot]
	wait := time.Duration(0)
	if _, known := k.byVM[s.Holder.VM]; !known && s.Holder.VM != "" {
		wait = missingHolderDelay
	}
	if vacant.rank >= maxRank || now.Sub(since) < wait+time.Duration(vacant.rank)*rankDelay {
		return false
	}
	return k.canNotifyEnough(s) || now.Sub(since) >= unreachableMembersDelay
}

// ownRank returns this process's rank among the candidates for a slot, at most
// maxRank.
func (k *Keeper) ownRank(id slotID) int {
	rank, ok := rankOf(k.self.VM, id.shard, id.slot, k.alive, k.otherHolders(id))
	if !ok {
		return maxRank
	}
	return min(rank, maxRank)
}

// nextHolder returns the member to which this process hands over a slot. If
// betterHolder finds one, it must be that one: any other holder would find the
// same better holder and hand the slot over again.
func (k *Keeper) nextHolder(id slotID) (gage.Member, bool) {
	if m, ok := k.betterHolder(id); ok {
		return m, true
	}
	for _, m := range sortedCandidates(id.shard, id.slot, k.alive, k.otherHolders(id)) {
		if m.VM != k.self.VM {
			return m, true
		}
	}
	return gage.Member{}, false
}

// otherHolders returns the VMs that hold the other slots of the same shard.
func (k *Keeper) otherHolders(id slotID) map[string]bool {
	others := make(map[string]bool)
	for slot, s := range k.records[id.shard].record.Slots {
		if slot != id.slot && !k.isVacant(s.Holder) {
			others[s.Holder.VM] = true
		}
	}
	return others
}

// canNotifyEnough reports whether enough confirming members are alive to
// complete a takeover. It prevents the minority side of a network partition
// from becoming the holder of a slot that it could not serve.
func (k *Keeper) canNotifyEnough(s Slot) bool {
	reachable := 0
	for _, member := range s.Members {
		if m, ok := k.byVM[member.VM]; ok && m.Phase == gage.MemberAlive {
			reachable++
		}
	}
	return 2*reachable >= len(s.Members)
}

// needsNewMembers reports whether fewer confirming members of a slot run than
// could be chosen now.
func (k *Keeper) needsNewMembers(held *heldSlot) bool {
	current := 0
	for _, member := range held.lease.Members {
		m, ok := k.byVM[member.VM]
		if ok && m.StartedAt == member.StartedAt && (m.Phase == gage.MemberAlive || m.Phase == gage.MemberSuspect) {
			current++
		}
	}
	wanted := min(MaxMembers, len(k.alive)-1)
	return current < wanted
}

// betterHolder returns a better holder of a slot if this process shares its VM or
// its zone with the holder of a lower slot of the shard. The better holder is on
// a VM that holds no other slot of the shard. If this process shares only the
// zone, the better holder is also in a zone that holds no other slot.
func (k *Keeper) betterHolder(id slotID) (gage.Member, bool) {
	slots := k.records[id.shard].record.Slots
	zones := make(map[string]bool)
	isOnSameVM, isInSameZone := false, false
	for slot, s := range slots {
		if slot == id.slot || k.isVacant(s.Holder) {
			continue
		}
		zones[k.byVM[s.Holder.VM].Zone] = true
		if slot < id.slot {
			isOnSameVM = isOnSameVM || s.Holder.VM == k.self.VM
			isInSameZone = isInSameZone || k.byVM[s.Holder.VM].Zone == k.settings.Self.Zone
		}
	}
	if !isOnSameVM && !isInSameZone {
		return gage.Member{}, false
	}
	others := k.otherHolders(id)
	for _, m := range sortedCandidates(id.shard, id.slot, k.alive, others) {
		if m.VM != k.self.VM && !others[m.VM] && (isOnSameVM || !zones[m.Zone]) {
			return m, true
		}
	}
	return gage.Member{}, false
}
