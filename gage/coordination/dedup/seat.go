package dedup

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// homeSlot is the slot whose holder decides; the others are witnesses.
const homeSlot = 0

type seatKey struct {
	shard int
	slot  int
}

// seat is one slot that this process holds or held.
type seat struct {
	key seatKey
	// epoch is the one at which this process came into standing.
	epoch uint64
	// since starts the time that the table covers. A home's table holds every
	// claim granted by any home after it, a witness's every claim that any
	// holder of the slot acknowledged after it, but for those released as not
	// run. It only goes back.
	since time.Time
	table *table.Table
	// number counts the claims taken at epoch.
	number uint64
	// heard is the newest epoch known of each slot of the shard. Messages of
	// older ones are refused.
	heard [gage.MaxSlotsPerShard]uint64
	// preferred is the slot of the witness that granted the last claim, or 0.
	preferred int
	// copied tells that the tables of the other slots have been taken over, or
	// that there was nothing to take over.
	copied bool
	// retryAt is when the next try to copy is due.
	retryAt time.Time
}

// seat returns the seat of a slot while this process may serve it.
func (k *Keeper) seat(now time.Time, shard, slot int) (*seat, bool) {
	if shard < 0 || shard >= gage.ShardCount || slot < 0 || slot >= gage.MaxSlotsPerShard {
		return nil, false
	}
	epoch, ok := k.options.Shares.HeldEpoch(shard, slot, now)
	if !ok {
		return nil, false
	}
	key := seatKey{shard, slot}
	s := k.seats[key]
	if s != nil && s.epoch > epoch {
		// The time was read before another call saw the newer epoch.
		return nil, false
	}
	if s == nil || s.epoch < epoch {
		s = k.sit(now, key, epoch)
	}
	k.hearShares(s)
	return s, true
}

// sit starts with an empty table. Nothing was claimed before the first epoch
// of a slot.
func (k *Keeper) sit(now time.Time, key seatKey, epoch uint64) *seat {
	if before := k.seats[key]; before != nil {
		invar.Check(epoch > before.epoch, "SlotEpochGrows", "Shard", key.shard, "Slot", key.slot,
			"Before", before.epoch, "Epoch", epoch)
		before.table.Clear()
	}
	s := &seat{key: key, epoch: epoch, since: now, table: table.New(&k.bound)}
	if epoch == 1 {
		s.since = time.Time{}
		s.copied = true
	}
	k.seats[key] = s
	return s
}

// hearShares takes in the epochs that the share table knows.
func (k *Keeper) hearShares(s *seat) {
	for _, slot := range k.options.Shares.Slots(s.key.shard) {
		s.hear(slot.Slot, slot.Epoch)
	}
}

// hear reports whether epoch is the newest known of a slot.
func (s *seat) hear(slot int, epoch uint64) bool {
	if slot < 0 || slot >= len(s.heard) || epoch < s.heard[slot] {
		return false
	}
	s.heard[slot] = epoch
	return true
}

// covered tells that the table holds every claim of the last table.Retention.
func (s *seat) covered(now time.Time) bool {
	return now.Sub(s.since) > table.Retention
}

// inherit moves the start of the covered time back.
func (s *seat) inherit(since time.Time) {
	if since.Before(s.since) {
		s.since = since
	}
	s.copied = true
}
