package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// slotID identifies one slot of one shard.
type slotID struct {
	shard int
	slot  int
}

// knownRecord is the newest record of one shard that this process has received.
type knownRecord struct {
	// isKnown is true once a record has been received, or the store has
	// reported that none exists.
	isKnown bool
	// revision is 0 when the key does not exist. It never decreases.
	revision int64
	record   Record
	// changedAt is when this process received the record.
	changedAt time.Time
}

// heldSlot is a slot whose newest known record names this process as the holder.
type heldSlot struct {
	epoch   uint64
	version uint64
	// startVersion is the version at which this process became the holder.
	// Replies to requests about older versions are ignored.
	startVersion uint64
	heldSince    time.Time
	lease        fence.Lease
	// takeover is nil once no earlier holder can have a valid lease.
	takeover *fence.Takeover
	// isHandingOver is true once this process has stopped serving the slot to
	// hand it over. It is never reset.
	isHandingOver bool
	// pendingBaseRevision is the revision of the record that a pending change of
	// the confirming members is to replace.
	pendingBaseRevision int64
}

// leaseExpiresAt returns when the lease expires, or the zero time while the slot
// must not be served.
func (h *heldSlot) leaseExpiresAt() time.Time {
	if h.takeover != nil || h.isHandingOver {
		return time.Time{}
	}
	return h.lease.ExpiresAt()
}

// isActive reports whether the slot is neither being taken over nor handed over.
func (h *heldSlot) isActive() bool {
	return h.takeover == nil && !h.isHandingOver
}

// Settings configure a Keeper.
type Settings struct {
	// Self describes this process. Its Phase is gage.MemberAlive.
	Self gage.Member
	// TakeoverWait is at least fence.LeaseDuration plus fence.DriftMargin.
	TakeoverWait time.Duration
	// Jitter returns a random number that is at least 0 and less than 1.
	Jitter func() float64
}

// Keeper is the state machine by which one process acquires, confirms and hands
// over slots. It performs no I/O. It is not safe for concurrent use.
type Keeper struct {
	settings Settings
	self     gage.Process
	records  [gage.ShardCount]knownRecord
	// heldSlots also holds slots that are being taken over or handed over.
	heldSlots map[slotID]*heldSlot
	promises  fence.Promises
	// byVM holds the members of the fleet, and alive those in phase Alive, as
	// read at membersReadAt. Both include this process.
	byVM  map[string]*gage.Member
	alive []gage.Member
	// vacancies holds the slots without a running holder.
	vacancies map[slotID]vacancy

	startedAt time.Time
	// membersReadAt is when the membership was last read.
	membersReadAt time.Time
	// maintainedAt is when maintain last checked the held slots.
	maintainedAt time.Time
	// confirmRoundAt is when the last confirm round started. The zero time makes
	// the next round due immediately.
	confirmRoundAt time.Time
	// listedAt is when the last successful list was received.
	listedAt time.Time
	// nextCallAt is when the backoff after a failed store call ends.
	nextCallAt        time.Time
	backoff           time.Duration
	isCallOutstanding bool
	isListRequested   bool
	isStopping        bool
	effects           Effects
}

// NewKeeper returns a Keeper that holds no slot and knows no record.
func NewKeeper(now time.Time, settings Settings) *Keeper {
	return &Keeper{
		settings:  settings,
		self:      processOf(settings.Self),
		heldSlots: make(map[slotID]*heldSlot),
		byVM:      make(map[string]*gage.Member),
		vacancies: make(map[slotID]vacancy),
		startedAt: now,
	}
}

// Drain returns the effects requested since the last call of Drain.
func (k *Keeper) Drain() Effects {
	out := k.effects
	k.effects = Effects{}
	return out
}

// HandleDocument processes a record received by gossip. It ignores documents
// that are not valid share records.
func (k *Keeper) HandleDocument(now time.Time, d gage.Document) {
	shard, ok := shardOfKey(d.Key)
	if !ok {
		return
	}
	record, err := Decode(d.Value)
	if err != nil {
		return
	}
	k.applyRecord(now, time.Time{}, shard, d.Revision, record)
}

// applyRecord processes a record unless it is older than the known one.
// requestedAt is when this process requested it from the store, or the zero time
// when it was received by gossip.
func (k *Keeper) applyRecord(now, requestedAt time.Time, shard int, revision int64, record Record) {
	known := &k.records[shard]
	if known.isKnown && revision < known.revision {
		return
	}
	isNewer := !known.isKnown || revision > known.revision
	changedAt := known.changedAt
	if isNewer {
		changedAt = now
	}
	*known = knownRecord{isKnown: true, revision: revision, record: record, changedAt: changedAt}
	for slot, s := range record.Slots {
		id := slotID{shard: shard, slot: slot}
		if isNewer {
			delete(k.vacancies, id)
		}
		k.applySlot(now, requestedAt, id, s)
	}
}

// applySlot updates the held slot after a new record or a read of the store. This
// process becomes the holder only when the store itself returns a record that
// names it. If such a record is received by gossip, the store is read first.
func (k *Keeper) applySlot(now, requestedAt time.Time, id slotID, s Slot) {
	held := k.heldSlots[id]
	if s.Holder != k.self {
		delete(k.heldSlots, id)
		return
	}
	if held == nil || held.epoch != s.Epoch {
		delete(k.heldSlots, id)
		if requestedAt.IsZero() {
			k.isListRequested = true
			return
		}
		k.startHolding(now, requestedAt, id, s)
		return
	}
	invar.Check(s.Version >= held.version, "ShareVersionGrows", "Shard", id.shard, "Slot", id.slot)
	if s.Version > held.version {
		held.version = s.Version
		held.lease.ReplaceMembers(s.Members)
	} else if held.lease.HasPending && k.records[id.shard].revision > held.pendingBaseRevision {
		held.lease.ReplaceMembers(s.Members)
	}
	if !requestedAt.IsZero() {
		held.lease.ConfirmByStore(requestedAt)
	}
}

// startHolding adds a slot whose record in the store names this process as the
// holder. Unless the record is marked as settled, holders of earlier epochs may
// still have valid leases, and a takeover starts.
func (k *Keeper) startHolding(now, requestedAt time.Time, id slotID, s Slot) {
	if k.isStopping {
		return
	}
	held := &heldSlot{epoch: s.Epoch, version: s.Version, startVersion: s.Version, heldSince: now}
	held.lease.Members = s.Members
	held.lease.ConfirmByStore(requestedAt)
	if !s.Settled {
		takeover := fence.BeginTakeover(now, s.Members, k.settings.TakeoverWait)
		held.takeover = &takeover
	}
	k.heldSlots[id] = held
	k.confirmRoundAt = time.Time{}
}

// Stop starts to hand over all slots. The slots of one shard are handed over one
// after another. Takeovers that are under way are abandoned.
func (k *Keeper) Stop(now time.Time) {
	k.isStopping = true
	k.nextCallAt = now
	for id, held := range k.heldSlots {
		if held.takeover != nil {
			delete(k.heldSlots, id)
		}
	}
}

// isUnchangedFor reports whether a shard's record has not changed for at least
// quietTime. During that time, a new holder of one slot copies the slot's data from
// the holders of the shard's other slots.
func (k *Keeper) isUnchangedFor(now time.Time, shard int, quietTime time.Duration) bool {
	return now.Sub(k.records[shard].changedAt) >= quietTime
}

// Done reports whether this process holds no slot.
func (k *Keeper) Done() bool {
	return len(k.heldSlots) == 0
}

// Snapshot returns the current slots and leases.
func (k *Keeper) Snapshot() *Snapshot {
	var s Snapshot
	for shard := range k.records {
		s.Slots[shard] = make([]gage.ShareSlot, 0, gage.MaxSlotsPerShard)
		for slot, stored := range k.records[shard].record.Slots {
			current := gage.ShareSlot{Shard: shard, Slot: slot, Epoch: stored.Epoch, Holder: stored.Holder, Zone: stored.Zone}
			if m, ok := k.byVM[stored.Holder.VM]; ok {
				current.PeerAddress = m.PeerAddress
			}
			s.Slots[shard] = append(s.Slots[shard], current)
		}
	}
	for id, held := range k.heldSlots {
		if expiresAt := held.leaseExpiresAt(); !expiresAt.IsZero() {
			s.Leases[id.shard][id.slot] = SlotLease{Epoch: held.epoch, ExpiresAt: expiresAt}
		}
	}
	return &s
}
