package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The delays before a takeover, which start when the vacancy is detected, and the
// limit on the number of processes that may start one.
const (
	// missingHolderDelay is the delay before the takeover from a holder that is
	// not in the membership at all. Such a holder may be running, if gossip about
	// it has not reached this process yet.
	missingHolderDelay = 5 * time.Second
	// rankDelay is the additional delay for each candidate that is preferred to
	// this process, so that normally only the preferred candidate calls the store.
	rankDelay = 2 * time.Second
	// rankInterval is the time between two computations of this process's rank.
	rankInterval = 2 * time.Second
	// maxRank is the number of candidates that may call the store for one slot.
	// Ranks start at 0, so candidates with ranks below maxRank may.
	maxRank = 4
	// takeoverDelayWithoutMembers is the delay after which a candidate starts a
	// takeover even if too few confirming members are reachable.
	takeoverDelayWithoutMembers = time.Minute
)

// updateVacancies records which slots have no running holder, and when this was
// detected.
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
	detectedAt time.Time
	// rank is this process's rank among the candidates, computed at rankedAt.
	rank     int
	rankedAt time.Time
}

// updateVacancy adds or updates a vacancy. It computes the rank only once per
// rankInterval, since the computation iterates over the whole membership.
func (k *Keeper) updateVacancy(now time.Time, id slotID) {
	vacant, ok := k.vacancies[id]
	if !ok {
		vacant.detectedAt = now
	}
	if !ok || now.Sub(vacant.rankedAt) >= rankInterval {
		vacant.rank = k.ownRank(id)
		vacant.rankedAt = now
	}
	k.vacancies[id] = vacant
}

// isVacant reports whether holder is not running. It is not running if its VM is
// unknown, is dead, has left or runs a later process.
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
	detectedAt := vacant.detectedAt
	s := k.records[id.shard].record.Slots[id.slot]
	delay := time.Duration(0)
	if _, known := k.byVM[s.Holder.VM]; !known && s.Holder.VM != "" {
		delay = missingHolderDelay
	}
	if vacant.rank >= maxRank || now.Sub(detectedAt) < delay+time.Duration(vacant.rank)*rankDelay {
		return false
	}
	return k.canNotifyEnough(s) || now.Sub(detectedAt) >= takeoverDelayWithoutMembers
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
// betterHolder returns a member, nextHolder returns the same one, since any other
// holder would hand the slot over again to that member. nextHolder returns false
// if there is no other alive member.
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

// canNotifyEnough reports whether enough confirming members are alive to complete
// a takeover, which is at least half of them. The check prevents a process on the
// minority side of a network partition from becoming the holder of a slot that it
// could not serve.
func (k *Keeper) canNotifyEnough(s Slot) bool {
	reachable := 0
	for _, member := range s.Members {
		if m, ok := k.byVM[member.VM]; ok && m.Phase == gage.MemberAlive {
			reachable++
		}
	}
	return 2*reachable >= len(s.Members)
}

// needsNewMembers reports whether a new choice of confirming members would yield
// more members than those that are running now.
func (k *Keeper) needsNewMembers(held *heldSlot) bool {
	running := 0
	for _, member := range held.lease.Members {
		m, ok := k.byVM[member.VM]
		if ok && m.StartedAt == member.StartedAt && (m.Phase == gage.MemberAlive || m.Phase == gage.MemberSuspect) {
			running++
		}
	}
	available := min(MaxMembers, len(k.alive)-1)
	return running < available
}

// betterHolder returns a better holder of a slot than this process, if there is
// one. It looks for one only if the holder of a slot with a lower number in the
// same shard is on this VM or in this zone. The better holder is on a VM that holds
// no other slot of the shard. If only the zone is shared, the better holder is also
// in a zone that holds no other slot of the shard.
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
