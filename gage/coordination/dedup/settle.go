package dedup

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const noticeTimeout = 500 * time.Millisecond

// notice is an outcome that a home forwards to a witness.
type notice struct {
	address string
	request SettleRequest
}

// Settle stores the outcome of a call. A home forwards the outcome to the
// witnesses. If the forwarded message is lost, a later home replies StatusUnknown
// for the key.
func (k *Keeper) Settle(_ time.Time, r SettleRequest) SettleReply {
	k.mu.Lock()
	s := k.heldSlots[slotID{r.Shard, r.Slot}]
	if s == nil {
		k.mu.Unlock()
		return SettleReply{Status: StatusNotHolder}
	}
	witness := s.table.Witness(r.Key)
	s.table.Settle(r.Key, r.Request, r.Outcome, r.Answer)
	k.mu.Unlock()
	if r.Slot == homeSlot {
		k.notifyWitnesses(r, witness)
	}
	return SettleReply{Status: StatusOK}
}

// notifyWitnesses queues the outcome for the witness that recorded the claim. If
// witness is 0, this home did not grant the claim, and both witnesses are
// notified. notifyWitnesses drops the notice when the
// queue is full.
func (k *Keeper) notifyWitnesses(r SettleRequest, witness int) {
	r.Answer = gage.Result{}
	for _, slot := range k.options.Shares.Slots(r.Shard) {
		if slot.Slot == homeSlot || witness != 0 && witness != slot.Slot {
			continue
		}
		r.Slot = slot.Slot
		if slot.Holder == k.options.Self {
			k.Settle(time.Time{}, r)
			continue
		}
		if slot.PeerAddress == "" {
			continue
		}
		select {
		case k.notices <- notice{slot.PeerAddress, r}:
		default:
			k.counts.noticesDropped.Inc()
		}
	}
}

// Run copies tables of new slots and sends notices until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range noticeWorkerCount {
		workers.Go(func() { k.sendNotices(ctx) })
	}
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.CopyNewSlots(ctx)
		}
	}
}

func (k *Keeper) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.notices:
			k.sendNotice(ctx, n)
		}
	}
}

// Flush sends the queued notices and returns once the queue is empty.
func (k *Keeper) Flush(ctx context.Context) {
	for {
		select {
		case n := <-k.notices:
			k.sendNotice(ctx, n)
		default:
			return
		}
	}
}

func (k *Keeper) sendNotice(ctx context.Context, n notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := k.options.Peers.Settle(ctx, n.address, n.request); err != nil {
		k.counts.noticesDropped.Inc()
	}
}
