package dedup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The pace of taking over tables.
const (
	// pageRecords times the size of a record stays far below the largest
	// message between nodes.
	pageRecords   = 4000
	pageTimeout   = time.Second
	copyRetry     = 500 * time.Millisecond
	tendInterval  = 200 * time.Millisecond
	maxCopyPages  = 2 * maxKeys / pageRecords
	noticeWorkers = 4
)

// CopyNewSlots looks after the slots of this process: it starts with those that it
// has just come to hold and takes over the tables of the other slots.
func (k *Keeper) CopyNewSlots(ctx context.Context) {
	for _, s := range k.dueToCopy(k.options.Clock.Now()) {
		k.copySeat(ctx, s)
	}
}

func (k *Keeper) dueToCopy(now time.Time) []*seat {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []*seat
	for shard := range gage.ShareShards {
		for slot := range gage.ShareSlots {
			s, ok := k.seat(now, shard, slot)
			if ok && !s.copied && !now.Before(s.retryAt) {
				s.retryAt = now.Add(copyRetry)
				due = append(due, s)
			}
		}
	}
	return due
}

// copySeat takes over what the other slots know. A new home needs both
// witnesses, since either alone may have recorded a claim. A new witness needs
// the home.
func (k *Keeper) copySeat(ctx context.Context, s *seat) {
	slots, known := k.sources(s)
	if !known {
		return
	}
	var since time.Time
	for _, slot := range slots {
		from, ok := k.copyFrom(ctx, s, slot)
		if !ok {
			return
		}
		if from.After(since) {
			since = from
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seats[s.key] != s {
		return
	}
	s.inherit(since)
	k.options.Logger.Info("ClaimsTakenOver", zap.Int("Shard", s.key.shard), zap.Int("Slot", s.key.slot),
		zap.Uint64("Epoch", s.epoch), zap.Int("Keys", s.table.Len()), zap.Time("Since", s.since))
}

// sources returns the slots to copy from. A slot that was never held has
// acknowledged nothing; the share table is new enough to tell this once it
// shows the epoch of the seat.
func (k *Keeper) sources(s *seat) (from []gage.ShareSlot, known bool) {
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

// copyFrom takes over one table and returns the start of the time it covers.
func (k *Keeper) copyFrom(ctx context.Context, s *seat, slot gage.ShareSlot) (time.Time, bool) {
	request := PageRequest{
		Shard: s.key.shard, Slot: slot.Slot, RequesterSlot: s.key.slot, RequesterEpoch: s.epoch,
	}
	var epoch uint64
	for range maxCopyPages {
		reply, ok := k.askPage(ctx, slot, request)
		if !ok || epoch != 0 && reply.Epoch != epoch {
			return time.Time{}, false
		}
		epoch = reply.Epoch
		if !k.merge(s, slot.Slot, reply) {
			return time.Time{}, false
		}
		if reply.IsLast {
			return reply.CoveredSince, true
		}
		request.After = reply.Next
	}
	return time.Time{}, false
}

func (k *Keeper) askPage(ctx context.Context, slot gage.ShareSlot, r PageRequest) (PageReply, bool) {
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

// merge takes a page in while the seat and the page's slot are still current.
func (k *Keeper) merge(s *seat, slot int, reply PageReply) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seats[s.key] != s || !s.hear(slot, reply.Epoch) {
		return false
	}
	for _, record := range reply.Records {
		if !s.table.Put(record) {
			return false
		}
	}
	return true
}
