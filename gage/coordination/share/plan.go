package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The times of store calls.
const (
	// createAfter is how long a process waits for records by gossip before it
	// asks the store.
	createAfter = time.Second
	// silentFor is how long any process waits for records before it does so.
	silentFor = 30 * time.Second
	// readEvery is the time between reads while members do not confirm.
	readEvery = time.Second
	// rereadEvery is the time between reads while they do. It is well below
	// fence.MaxStoreReadAge.
	rereadEvery = 10 * time.Minute
	// confirmLate is the age at which a majority's word is made up for by a
	// read.
	confirmLate = 1500 * time.Millisecond
	// upkeepEvery is the time between two looks for lost members and a better
	// spread, each of which leads to at most one swap.
	upkeepEvery = 250 * time.Millisecond
	// handAfter is how long a process keeps a slot before it hands it over,
	// so that nodes that see the fleet differently do not pass it in circles.
	handAfter = 5 * time.Second
	// handQuiet is how long a shard's record must not have changed before one
	// of its slots is handed over for a better spread. It leaves the holder of
	// another slot that has just changed hands the time to copy from this one.
	handQuiet = 3 * time.Second
	// stopQuiet is the same for a process that stops, which has little time.
	stopQuiet  = 800 * time.Millisecond
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// plan picks the next store call, if one is due. At most one is under way.
func (k *Keeper) plan(now time.Time) {
	if k.calling || now.Before(k.nextCall) {
		return
	}
	call, ok := k.nextSwap(now)
	if !ok && k.listDue(now) {
		call, ok = StoreCall{IsList: true, IsRequested: k.listSoon}, true
		// A wish that comes up while the list is under way stands: the list
		// may be answered from before its cause.
		k.listSoon = false
	}
	if !ok {
		return
	}
	call.SentAt = now
	k.calling = true
	k.out.StoreCall = &call
}

func (k *Keeper) nextSwap(now time.Time) (StoreCall, bool) {
	for _, p := range k.places() {
		if k.duties[p].handing {
			return k.handCall(p), true
		}
	}
	if k.listSoon {
		return StoreCall{}, false
	}
	if k.stopping {
		return k.giveUp(now)
	}
	for _, p := range k.places() {
		if d := k.duties[p]; d.standing.HasPending {
			return k.refreshCall(p, d), true
		}
	}
	for shard := range k.views {
		if call, ok := k.shardCall(now, shard); ok {
			return call, true
		}
	}
	return k.upkeep(now)
}

// giveUp hands over the next slot of a process that stops.
func (k *Keeper) giveUp(now time.Time) (StoreCall, bool) {
	for _, p := range k.places() {
		if k.rested(now, p.shard, stopQuiet) {
			k.duties[p].handing = true
			return k.handCall(p), true
		}
	}
	return StoreCall{}, false
}

// shardCall creates a missing record or takes over a slot of a known one.
func (k *Keeper) shardCall(now time.Time, shard int) (StoreCall, bool) {
	v := &k.views[shard]
	if !v.known {
		return StoreCall{}, false
	}
	if v.revision == 0 {
		return k.createCall(now, shard)
	}
	for slot := range v.record.Slots {
		p := place{shard: shard, slot: slot}
		if k.mayTake(now, p) {
			return k.takeCall(p), true
		}
	}
	return StoreCall{}, false
}

// upkeep replaces lost members and spreads slots better.
func (k *Keeper) upkeep(now time.Time) (StoreCall, bool) {
	if now.Sub(k.lastUpkeep) < upkeepEvery {
		return StoreCall{}, false
	}
	k.lastUpkeep = now
	for _, p := range k.places() {
		d := k.duties[p]
		if !d.serving() {
			continue
		}
		if k.staleMembers(d) {
			d.pendingRevision = k.views[p.shard].revision
			d.standing.HasPending = true
			d.standing.PendingMembers = chooseMembers(p.shard, k.self.VM, k.alive)
			return k.refreshCall(p, d), true
		}
		if now.Sub(d.begunAt) < handAfter || d.standing.HasPending || !k.rested(now, p.shard, handQuiet) {
			continue
		}
		if _, ok := k.betterHolder(p); ok {
			d.handing = true
			return k.handCall(p), true
		}
	}
	return StoreCall{}, false
}

func (k *Keeper) createCall(now time.Time, shard int) (StoreCall, bool) {
	rank := k.rank(place{shard: shard})
	if rank >= maxRank || now.Sub(k.startedAt) < createAfter+time.Duration(rank)*rankDelay {
		return StoreCall{}, false
	}
	record := Record{Slots: make([]Slot, gage.ShareSlots)}
	used := make(map[string]bool)
	for slot := range record.Slots {
		holder := candidates(shard, slot, k.alive, used)[0]
		used[holder.VM] = true
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

func (k *Keeper) takeCall(p place) StoreCall {
	v := &k.views[p.shard]
	s := v.record.Slots[p.slot]
	nobody := s.Settled && s.Holder == gage.Process{}
	s.Epoch++
	s.Version++
	s.Holder = k.self
	s.Zone = k.settings.Self.Zone
	s.Settled = nobody
	return StoreCall{Shard: p.shard, Revision: v.revision, Record: v.record.withSlot(p.slot, s)}
}

func (k *Keeper) refreshCall(p place, d *duty) StoreCall {
	v := &k.views[p.shard]
	s := v.record.Slots[p.slot]
	s.Version++
	s.Members = d.standing.PendingMembers
	s.Settled = true
	return StoreCall{Shard: p.shard, Revision: v.revision, Record: v.record.withSlot(p.slot, s)}
}

// handCall names the best other process, or nobody, as the next holder.
func (k *Keeper) handCall(p place) StoreCall {
	v := &k.views[p.shard]
	s := v.record.Slots[p.slot]
	s.Epoch++
	s.Version++
	s.Holder = gage.Process{}
	s.Settled = true
	call := StoreCall{Shard: p.shard, Revision: v.revision}
	if m, ok := k.nextHolder(p); ok {
		s.Holder = processOf(m)
		s.Zone = m.Zone
		s.Members = chooseMembers(p.shard, m.VM, k.alive)
		item := SlotRequest{Shard: p.shard, Slot: p.slot, Version: s.Version, IsHandover: true}
		call.HandoverNotice = OutgoingConfirm{Address: m.PeerAddress, To: s.Holder, Request: ConfirmRequest{Items: []SlotRequest{item}}}
	}
	call.Record = v.record.withSlot(p.slot, s)
	return call
}

// listDue reports whether the records should be read from the store.
func (k *Keeper) listDue(now time.Time) bool {
	if k.listSoon {
		return true
	}
	if now.Sub(k.lastList) < readEvery {
		return false
	}
	for shard := range k.views {
		if !k.views[shard].known {
			return k.mayFirstList(now, shard)
		}
	}
	for _, d := range k.duties {
		if !d.serving() {
			continue
		}
		unconfirmed := now.Sub(d.standing.MajorityAt()) >= confirmLate && now.Sub(d.standing.StoreReadAt) >= readEvery
		if unconfirmed || now.Sub(d.standing.StoreReadAt) >= rereadEvery {
			return true
		}
	}
	return false
}

// mayFirstList reports whether it is this process's turn to ask the store for
// a shard of which no peer has spoken.
func (k *Keeper) mayFirstList(now time.Time, shard int) bool {
	since := now.Sub(k.startedAt)
	if since < createAfter {
		return false
	}
	rank := k.rank(place{shard: shard})
	return rank < maxRank && since >= createAfter+time.Duration(rank)*rankDelay || since >= silentFor
}
