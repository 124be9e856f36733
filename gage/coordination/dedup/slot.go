package dedup

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// homeSlot is the slot whose holder is the shard's home. The holders of the
// other slots are the witnesses.
const homeSlot = 0

// slotID identifies one slot of one shard.
type slotID struct {
	shard int
	slot  int
}

// heldSlot is one slot that this process holds or held.
type heldSlot struct {
	key slotID
	// epoch is the epoch of this process's lease.
	epoch uint64
	// coveredSince is the start of the time that the table covers. The table of
	// a home holds every claim that any home has granted since then. The table
	// of a witness holds every claim that any holder of the slot has
	// acknowledged since then. Claims released because the call did not run are
	// excepted. coveredSince never increases.
	coveredSince time.Time
	table        *table.Table
	// lastNumber is the number of the newest claim inserted at epoch.
	lastNumber uint64
	// newestEpochs holds the newest known epoch of each slot of the shard.
	// Messages from holders with older epochs are refused.
	newestEpochs [gage.MaxSlotsPerShard]uint64
	// preferredWitness is the slot of the witness that recorded the last granted
	// claim, or 0.
	preferredWitness int
	// isCopied is true once the records of the other slots have been copied. It
	// is true from the start if there were none to copy.
	isCopied bool
	// nextCopyAt is when the next attempt to copy is due.
	nextCopyAt time.Time
}

// currentSlot returns the state of a slot, or false if this process has no valid
// lease on the slot. If the lease has a new epoch, the table starts empty.
func (k *Keeper) currentSlot(now time.Time, shard, slot int) (*heldSlot, bool) {
	if shard < 0 || shard >= gage.ShardCount || slot < 0 || slot >= gage.MaxSlotsPerShard {
		return nil, false
	}
	epoch, ok := k.options.Shares.HeldEpoch(shard, slot, now)
	if !ok {
		return nil, false
	}
	key := slotID{shard, slot}
	s := k.heldSlots[key]
	if s != nil && s.epoch > epoch {
		// now was read before a concurrent call started the newer epoch.
		return nil, false
	}
	if s == nil || s.epoch < epoch {
		s = k.startSlot(now, key, epoch)
	}
	k.observeKnownEpochs(s)
	return s, true
}

// startSlot adds a slot with an empty table. At the first epoch there is nothing
// to copy, since no claims were made earlier.
func (k *Keeper) startSlot(now time.Time, key slotID, epoch uint64) *heldSlot {
	if previous := k.heldSlots[key]; previous != nil {
		invar.Check(epoch > previous.epoch, "SlotEpochGrows", "Shard", key.shard, "Slot", key.slot,
			"Before", previous.epoch, "Epoch", epoch)
		previous.table.Clear()
	}
	s := &heldSlot{key: key, epoch: epoch, coveredSince: now, table: table.New(&k.budget)}
	if epoch == 1 {
		s.coveredSince = time.Time{}
		s.isCopied = true
	}
	k.heldSlots[key] = s
	return s
}

// observeKnownEpochs raises the newest known epochs of the shard's slots to those
// that Shares knows.
func (k *Keeper) observeKnownEpochs(s *heldSlot) {
	for _, slot := range k.options.Shares.Slots(s.key.shard) {
		s.observeEpoch(slot.Slot, slot.Epoch)
	}
}

// observeEpoch raises the newest known epoch of a slot to epoch. It returns false
// if a newer epoch is known or the slot is invalid.
func (s *heldSlot) observeEpoch(slot int, epoch uint64) bool {
	if slot < 0 || slot >= len(s.newestEpochs) || epoch < s.newestEpochs[slot] {
		return false
	}
	s.newestEpochs[slot] = epoch
	return true
}

// coversRetention reports whether the table holds every claim of the last
// table.Retention.
func (s *heldSlot) coversRetention(now time.Time) bool {
	return now.Sub(s.coveredSince) > table.Retention
}

// finishCopy marks the copy as complete and lowers coveredSince.
func (s *heldSlot) finishCopy(coveredSince time.Time) {
	if coveredSince.Before(s.coveredSince) {
		s.coveredSince = coveredSince
	}
	s.isCopied = true
}
