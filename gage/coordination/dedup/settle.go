package dedup

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const noticeTimeout = 500 * time.Millisecond

// notice is a settlement that a home passes on to a witness.
type notice struct {
	address string
	request SettleRequest
}

// Settle takes in what became of a call. A home passes it on to the
// witnesses; when that is lost, a later home answers Unknown for the key.
func (k *Keeper) Settle(_ time.Time, r SettleRequest) SettleReply {
	k.mu.Lock()
	s := k.seats[seatKey{r.Shard, r.Slot}]
	if s == nil {
		k.mu.Unlock()
		return SettleReply{Status: StatusNotHolder}
	}
	witness := s.table.Witness(r.Key)
	s.table.Settle(r.Key, r.Request, r.Outcome, r.Answer)
	k.mu.Unlock()
	if r.Slot == homeSlot {
		k.passOn(r, witness)
	}
	return SettleReply{Status: StatusOK}
}

// passOn tells the witness that recorded the claim, or both when this home did
// not grant it.
func (k *Keeper) passOn(r SettleRequest, witness int) {
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
			k.counts.lost.Inc()
		}
	}
}

// Run tends the slots and sends notices until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range noticeWorkers {
		workers.Go(func() { k.sendNotices(ctx) })
	}
	ticker := time.NewTicker(tendInterval)
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
			k.send(ctx, n)
		}
	}
}

// Flush sends the notices that wait.
func (k *Keeper) Flush(ctx context.Context) {
	for {
		select {
		case n := <-k.notices:
			k.send(ctx, n)
		default:
			return
		}
	}
}

func (k *Keeper) send(ctx context.Context, n notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := k.options.Peers.Settle(ctx, n.address, n.request); err != nil {
		k.counts.lost.Inc()
	}
}
