package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// place names one slot.
type place struct {
	shard int
	slot  int
}

// view is the newest known record of one shard.
type view struct {
	// known tells that the store or a peer has spoken of the shard.
	known bool
	// revision is 0 when the key does not exist. It never goes down.
	revision int64
	record   Record
	// changedAt is when this process learned of the record.
	changedAt time.Time
}

// duty is a slot whose newest known record names this process.
type duty struct {
	epoch   uint64
	version uint64
	// firstVersion is the version at which the duty began; older asks do not
	// count for it.
	firstVersion uint64
	begunAt      time.Time
	standing     fence.Lease
	// takeover is nil once no earlier holder can be in standing.
	takeover *fence.Takeover
	// handing tells that this process has given the slot up for good.
	handing bool
	// pendingRevision is the revision on which an outstanding change of the
	// members was based.
	pendingRevision int64
}

func (d *duty) until() time.Time {
	if d.takeover != nil || d.handing {
		return time.Time{}
	}
	return d.standing.ExpiresAt()
}

func (d *duty) serving() bool {
	return d.takeover == nil && !d.handing
}

// Settings are the inputs of a Keeper.
type Settings struct {
	// Self is alive.
	Self gage.Member
	// TakeoverWait is at least fence.LeaseDuration and fence.DriftMargin.
	TakeoverWait time.Duration
	// Jitter returns a number from 0 up to 1.
	Jitter func() float64
}

// Keeper is the state machine of one process's share duties. It is not safe
// for concurrent use: one goroutine owns it.
type Keeper struct {
	settings Settings
	self     gage.Process
	views    [gage.ShareShards]view
	// duties has at most one entry for each slot.
	duties   map[place]*duty
	promises fence.Promises
	// byVM and alive are the membership at the last tick.
	byVM  map[string]*gage.Member
	alive []gage.Member
	// gone holds the slots whose holders have been seen to be gone.
	gone map[place]vacancy

	startedAt  time.Time
	lastIndex  time.Time
	lastUpkeep time.Time
	lastRound  time.Time
	lastList   time.Time
	// nextCall holds store calls back after an error.
	nextCall time.Time
	backoff  time.Duration
	calling  bool
	listSoon bool
	stopping bool
	out      Effects
}

// NewKeeper returns a Keeper at its start.
func NewKeeper(now time.Time, settings Settings) *Keeper {
	return &Keeper{
		settings:  settings,
		self:      processOf(settings.Self),
		duties:    make(map[place]*duty),
		byVM:      make(map[string]*gage.Member),
		gone:      make(map[place]vacancy),
		startedAt: now,
	}
}

// Drain returns what is to be done since the last Drain.
func (k *Keeper) Drain() Effects {
	out := k.out
	k.out = Effects{}
	return out
}

// HandleDocument takes in a record that came by gossip.
func (k *Keeper) HandleDocument(now time.Time, d gage.Document) {
	shard, ok := shardOfKey(d.Key)
	if !ok {
		return
	}
	record, err := Decode(d.Value)
	if err != nil {
		return
	}
	k.apply(now, time.Time{}, shard, d.Revision, record)
}

// apply takes in a record. askedAt is when this process asked the store for
// it, or the zero time when it came by gossip.
func (k *Keeper) apply(now, askedAt time.Time, shard int, revision int64, record Record) {
	v := &k.views[shard]
	if v.known && revision < v.revision {
		return
	}
	newer := !v.known || revision > v.revision
	changedAt := v.changedAt
	if newer {
		changedAt = now
	}
	*v = view{known: true, revision: revision, record: record, changedAt: changedAt}
	for slot, s := range record.Slots {
		p := place{shard: shard, slot: slot}
		if newer {
			delete(k.gone, p)
		}
		k.settle(now, askedAt, p, s)
	}
}

// settle brings the duty for one slot in line with its newest known record.
func (k *Keeper) settle(now, askedAt time.Time, p place, s Slot) {
	d := k.duties[p]
	if s.Holder != k.self {
		delete(k.duties, p)
		return
	}
	if d == nil || d.epoch != s.Epoch {
		delete(k.duties, p)
		if askedAt.IsZero() {
			k.listSoon = true
			return
		}
		k.begin(now, askedAt, p, s)
		return
	}
	invar.Check(s.Version >= d.version, "ShareVersionGrows", "Shard", p.shard, "Slot", p.slot)
	if s.Version > d.version {
		d.version = s.Version
		d.standing.ReplaceMembers(s.Members)
	} else if d.standing.HasPending && k.views[p.shard].revision > d.pendingRevision {
		d.standing.ReplaceMembers(s.Members)
	}
	if !askedAt.IsZero() {
		d.standing.ConfirmByStore(askedAt)
	}
}

// begin starts a duty that the store itself has confirmed.
func (k *Keeper) begin(now, askedAt time.Time, p place, s Slot) {
	if k.stopping {
		return
	}
	d := &duty{epoch: s.Epoch, version: s.Version, firstVersion: s.Version, begunAt: now}
	d.standing.Members = s.Members
	d.standing.ConfirmByStore(askedAt)
	if !s.Settled {
		takeover := fence.BeginTakeover(now, s.Members, k.settings.TakeoverWait)
		d.takeover = &takeover
	}
	k.duties[p] = d
	k.lastRound = time.Time{}
}

// Stop makes the process give up all its slots, those of one shard one after
// the other.
func (k *Keeper) Stop(now time.Time) {
	k.stopping = true
	k.nextCall = now
	for p, d := range k.duties {
		if d.takeover != nil {
			delete(k.duties, p)
		}
	}
}

// rested reports whether a shard's record has not changed for a while, so that
// the holder of a slot that changed hands has copied from the others.
func (k *Keeper) rested(now time.Time, shard int, quiet time.Duration) bool {
	return now.Sub(k.views[shard].changedAt) >= quiet
}

// Done reports whether the process holds no slot any more.
func (k *Keeper) Done() bool {
	return len(k.duties) == 0
}

// Snapshot returns what others may see.
func (k *Keeper) Snapshot() *Snapshot {
	var s Snapshot
	for shard := range k.views {
		s.Slots[shard] = make([]gage.ShareSlot, 0, gage.ShareSlots)
		for slot, stored := range k.views[shard].record.Slots {
			shown := gage.ShareSlot{Shard: shard, Slot: slot, Epoch: stored.Epoch, Holder: stored.Holder, Zone: stored.Zone}
			if m, ok := k.byVM[stored.Holder.VM]; ok {
				shown.PeerAddress = m.PeerAddress
			}
			s.Slots[shard] = append(s.Slots[shard], shown)
		}
	}
	for p, d := range k.duties {
		if until := d.until(); !until.IsZero() {
			s.Leases[p.shard][p.slot] = SlotLease{Epoch: d.epoch, ExpiresAt: until}
		}
	}
	return &s
}
