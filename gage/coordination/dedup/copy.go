package dedup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The limits of copying tables and of sending notices.
const (
	// recordsPerPage is the maximum number of records on a page. A page with as
	// many is far smaller than the maximum message between nodes.
	recordsPerPage    = 4000
	pageTimeout       = time.Second
	copyRetryInterval = 500 * time.Millisecond
	// copyInterval is the time between two checks for slots to copy.
	copyInterval      = 200 * time.Millisecond
	maxCopyPages      = 2 * maxKeys / recordsPerPage
	noticeWorkerCount = 4
)

// CopyNewSlots copies the records of the shard's other slots into each slot that
// this process has newly acquired, or for which an earlier copy failed.
func (k *Keeper) CopyNewSlots(ctx context.Context) {
	for _, s := range k.slotsToCopy(k.options.Clock.Now()) {
		k.copySlot(ctx, s)
	}
}

// slotsToCopy returns the slots whose next copy attempt is due at now.
func (k *Keeper) slotsToCopy(now time.Time) []*heldSlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []*heldSlot
	for shard := range gage.ShardCount {
		for slot := range gage.MaxSlotsPerShard {
			s, ok := k.currentSlot(now, shard, slot)
			if ok && !s.isCopied && !now.Before(s.nextCopyAt) {
				s.nextCopyAt = now.Add(copyRetryInterval)
				due = append(due, s)
			}
		}
	}
	return due
}

// copySlot copies the records of the other slots. A new home needs the records of
// both witnesses, since a claim may have been recorded by only one of them. A new
// witness needs those of the home.
func (k *Keeper) copySlot(ctx context.Context, s *heldSlot) {
	slots, known := k.sources(s)
	if !known {
		return
	}
	var coveredSince time.Time
	for _, slot := range slots {
		sourceCoveredSince, ok := k.copyFrom(ctx, s, slot)
		if !ok {
			return
		}
		if sourceCoveredSince.After(coveredSince) {
			coveredSince = sourceCoveredSince
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heldSlots[s.key] != s {
		return
	}
	s.finishCopy(coveredSince)
	k.options.Logger.Info("ClaimsTakenOver", zap.Int("Shard", s.key.shard), zap.Int("Slot", s.key.slot),
		zap.Uint64("Epoch", s.epoch), zap.Int("Keys", s.table.Len()), zap.Time("Since", s.coveredSince))
}

// sources returns the slots to copy from, without slots that were never held. known
// is false while the share table of this process is older than the epoch of s. It
// may then lack the holder of a slot.
func (k *Keeper) sources(s *heldSlot) (from []gage.ShareSlot, known bool) {
	for _, slot := range k.options.Shares.Slots(s.key.shard) {
		if slot.Slot == s.key.slot {
			known = slot.Epoch >= s.epoch
			continue
		}
		if s.key.slot != homeSlot && slot.Slot != homeSlot {
			continue
		}
		if slot.Epoch > 0 {
			from = append(from, slot)
		}
	}
	return from, known
}

// copyFrom copies the table of one slot and returns the start of the time that
// the table covers. It returns false unless it copied the whole table.
func (k *Keeper) copyFrom(ctx context.Context, s *heldSlot, slot gage.ShareSlot) (time.Time, bool) {
	request := PageRequest{
		Shard: s.key.shard, Slot: slot.Slot, RequesterSlot: s.key.slot, RequesterEpoch: s.epoch,
	}
	var epoch uint64
	for range maxCopyPages {
		reply, ok := k.fetchPage(ctx, slot, request)
		if !ok || epoch != 0 && reply.Epoch != epoch {
			return time.Time{}, false
		}
		epoch = reply.Epoch
		if !k.mergePage(s, slot.Slot, reply) {
			return time.Time{}, false
		}
		if reply.IsLast {
			return reply.CoveredSince, true
		}
		request.After = reply.Next
	}
	return time.Time{}, false
}

// fetchPage returns one page of a slot's table. It sends a message unless this
// process holds the slot.
func (k *Keeper) fetchPage(ctx context.Context, slot gage.ShareSlot, r PageRequest) (PageReply, bool) {
	if slot.Holder == k.options.Self {
		reply := k.Page(k.options.Clock.Now(), r)
		return reply, reply.Status == StatusOK
	}
	if slot.PeerAddress == "" {
		return PageReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := k.options.Peers.Page(ctx, slot.PeerAddress, r)
	return reply, err == nil && reply.Status == StatusOK
}

// mergePage adds the records of a page. It returns false if the table is full or
// s is no longer held. It also returns false if the page comes from a holder that
// a newer epoch of its slot has replaced.
func (k *Keeper) mergePage(s *heldSlot, slot int, reply PageReply) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heldSlots[s.key] != s || !s.observeEpoch(slot, reply.Epoch) {
		return false
	}
	for _, record := range reply.Records {
		if !s.table.Put(record) {
			return false
		}
	}
	return true
}
