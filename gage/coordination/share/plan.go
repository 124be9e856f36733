package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The delays and intervals of store calls.
const (
	// gossipWait is how long after its start a process with rank 0 waits for
	// records by gossip before it calls the store.
	gossipWait = time.Second
	// maxGossipWait is how long after its start a process of any rank waits for
	// records by gossip before it calls the store.
	maxGossipWait = 30 * time.Second
	// minReadInterval is the time between two reads of the store while no
	// majority of the confirming members confirms the holder.
	minReadInterval = time.Second
	// maxReadInterval is the time between two reads of the store while a majority
	// confirms the holder. It is well below fence.MaxStoreReadAge, the age of the
	// last read at which the lease expires.
	maxReadInterval = 10 * time.Minute
	// maxConfirmationAge is the maximum age of the last confirmation by a
	// majority. If it is exceeded, the holder renews its lease by reading the
	// store.
	maxConfirmationAge = 1500 * time.Millisecond
	// maintenanceInterval is the time between two calls of maintain, each of
	// which leads to at most one swap.
	maintenanceInterval = 250 * time.Millisecond
	// minHoldTime is how long a process holds a slot before it hands the slot
	// over. It damps repeated handovers between nodes whose membership lists
	// differ.
	minHoldTime = 5 * time.Second
	// handoverQuietTime is how long a shard's record must be unchanged before
	// one of its slots is handed over to a better holder. During that time, a new
	// holder of another slot of the shard can copy data from this slot.
	handoverQuietTime = 3 * time.Second
	// stopQuietTime replaces handoverQuietTime in a process that is stopping. It
	// is shorter because the time for a graceful shutdown is limited.
	stopQuietTime = 800 * time.Millisecond
	minBackoff    = 200 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// planStoreCall requests the next store call that is due, if any. It does nothing
// while a call is outstanding.
func (k *Keeper) planStoreCall(now time.Time) {
	if k.isCallOutstanding || now.Before(k.nextCallAt) {
		return
	}
	call, ok := k.nextSwap(now)
	if !ok && k.isListDue(now) {
		call, ok = StoreCall{IsList: true, IsRequested: k.isListRequested}, true
		// Reset the flag now rather than when the reply arrives. A list that is
		// requested in the meantime must still be sent, since the reply to this
		// one may be older than the event that caused the request.
		k.isListRequested = false
	}
	if !ok {
		return
	}
	call.SentAt = now
	k.isCallOutstanding = true
	k.effects.StoreCall = &call
}

// nextSwap returns the swap that is due with the highest priority, if any.
func (k *Keeper) nextSwap(now time.Time) (StoreCall, bool) {
	for _, id := range k.heldSlotIDs() {
		if k.heldSlots[id].isHandingOver {
			return k.handoverCall(id), true
		}
	}
	if k.isListRequested {
		return StoreCall{}, false
	}
	if k.isStopping {
		return k.nextStopHandover(now)
	}
	for _, id := range k.heldSlotIDs() {
		if held := k.heldSlots[id]; held.lease.HasPending {
			return k.replaceMembersCall(id, held), true
		}
	}
	for shard := range k.records {
		if call, ok := k.createOrTakeover(now, shard); ok {
			return call, true
		}
	}
	return k.maintain(now)
}

// nextStopHandover returns the next handover of a process that is stopping.
func (k *Keeper) nextStopHandover(now time.Time) (StoreCall, bool) {
	for _, id := range k.heldSlotIDs() {
		if k.isUnchangedFor(now, id.shard, stopQuietTime) {
			k.heldSlots[id].isHandingOver = true
			return k.handoverCall(id), true
		}
	}
	return StoreCall{}, false
}

// createOrTakeover creates the missing record of a shard, or starts a takeover
// of one of its slots.
func (k *Keeper) createOrTakeover(now time.Time, shard int) (StoreCall, bool) {
	v := &k.records[shard]
	if !v.isKnown {
		return StoreCall{}, false
	}
	if v.revision == 0 {
		return k.createCall(now, shard)
	}
	for slot := range v.record.Slots {
		id := slotID{shard: shard, slot: slot}
		if k.mayTakeOver(now, id) {
			return k.takeoverCall(id), true
		}
	}
	return StoreCall{}, false
}

// maintain replaces confirming members that are not running, and hands over
// slots so that the slots of a shard are in different zones.
func (k *Keeper) maintain(now time.Time) (StoreCall, bool) {
	if now.Sub(k.maintainedAt) < maintenanceInterval {
		return StoreCall{}, false
	}
	k.maintainedAt = now
	for _, id := range k.heldSlotIDs() {
		held := k.heldSlots[id]
		if !held.isActive() {
			continue
		}
		if k.needsNewMembers(held) {
			held.pendingBaseRevision = k.records[id.shard].revision
			held.lease.HasPending = true
			held.lease.PendingMembers = chooseMembers(id.shard, k.self.VM, k.alive)
			return k.replaceMembersCall(id, held), true
		}
		if now.Sub(held.heldSince) < minHoldTime || held.lease.HasPending || !k.isUnchangedFor(now, id.shard, handoverQuietTime) {
			continue
		}
		if _, ok := k.betterHolder(id); ok {
			held.isHandingOver = true
			return k.handoverCall(id), true
		}
	}
	return StoreCall{}, false
}

func (k *Keeper) createCall(now time.Time, shard int) (StoreCall, bool) {
	rank := k.ownRank(slotID{shard: shard})
	if rank >= maxRank || now.Sub(k.startedAt) < gossipWait+time.Duration(rank)*rankDelay {
		return StoreCall{}, false
	}
	record := Record{Slots: make([]Slot, gage.MaxSlotsPerShard)}
	holderVMs := make(map[string]bool)
	for slot := range record.Slots {
		holder := sortedCandidates(shard, slot, k.alive, holderVMs)[0]
		holderVMs[holder.VM] = true
		record.Slots[slot] = Slot{
			Epoch:   1,
			Version: 1,
			Holder:  processOf(holder),
			Zone:    holder.Zone,
			Members: chooseMembers(shard, holder.VM, k.alive),
			Settled: true,
		}
	}
	return StoreCall{Shard: shard, Record: record}, true
}

func (k *Keeper) takeoverCall(id slotID) StoreCall {
	v := &k.records[id.shard]
	s := v.record.Slots[id.slot]
	hadNoHolder := s.Settled && s.Holder == gage.Process{}
	s.Epoch++
	s.Version++
	s.Holder = k.self
	s.Zone = k.settings.Self.Zone
	s.Settled = hadNoHolder
	return StoreCall{Shard: id.shard, Revision: v.revision, Record: v.record.withSlot(id.slot, s)}
}

func (k *Keeper) replaceMembersCall(id slotID, held *heldSlot) StoreCall {
	v := &k.records[id.shard]
	s := v.record.Slots[id.slot]
	s.Version++
	s.Members = held.lease.PendingMembers
	s.Settled = true
	return StoreCall{Shard: id.shard, Revision: v.revision, Record: v.record.withSlot(id.slot, s)}
}

// handoverCall returns the swap that makes the preferred other process the holder.
// Without another process, the swap sets the holder to the zero Process.
func (k *Keeper) handoverCall(id slotID) StoreCall {
	v := &k.records[id.shard]
	s := v.record.Slots[id.slot]
	s.Epoch++
	s.Version++
	s.Holder = gage.Process{}
	s.Settled = true
	call := StoreCall{Shard: id.shard, Revision: v.revision}
	if m, ok := k.nextHolder(id); ok {
		s.Holder = processOf(m)
		s.Zone = m.Zone
		s.Members = chooseMembers(id.shard, m.VM, k.alive)
		item := SlotRequest{Shard: id.shard, Slot: id.slot, Version: s.Version, IsHandover: true}
		call.HandoverNotice = OutgoingConfirm{Address: m.PeerAddress, To: s.Holder, Request: ConfirmRequest{Items: []SlotRequest{item}}}
	}
	call.Record = v.record.withSlot(id.slot, s)
	return call
}

// isListDue reports whether the records should be read from the store at now.
func (k *Keeper) isListDue(now time.Time) bool {
	if k.isListRequested {
		return true
	}
	if now.Sub(k.listedAt) < minReadInterval {
		return false
	}
	for shard := range k.records {
		if !k.records[shard].isKnown {
			return k.isFirstListDue(now, shard)
		}
	}
	for _, held := range k.heldSlots {
		if !held.isActive() {
			continue
		}
		isUnconfirmed := now.Sub(held.lease.MajorityAt()) >= maxConfirmationAge && now.Sub(held.lease.StoreReadAt) >= minReadInterval
		if isUnconfirmed || now.Sub(held.lease.StoreReadAt) >= maxReadInterval {
			return true
		}
	}
	return false
}

// isFirstListDue reports whether this process should read the store because it
// has received no record of a shard by gossip.
func (k *Keeper) isFirstListDue(now time.Time, shard int) bool {
	uptime := now.Sub(k.startedAt)
	if uptime < gossipWait {
		return false
	}
	rank := k.ownRank(slotID{shard: shard})
	return rank < maxRank && uptime >= gossipWait+time.Duration(rank)*rankDelay || uptime >= maxGossipWait
}
