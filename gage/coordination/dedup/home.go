package dedup

import (
	"context"
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The patience of a home with its witnesses.
const (
	recordTimeout = 400 * time.Millisecond
	// hedgeAfter is how long the first witness has before the second is asked.
	hedgeAfter = 10 * time.Millisecond
)

// claim is a claim that the home has taken and no witness has recorded yet.
type claim struct {
	shard  int
	epoch  uint64
	record table.Record
}

// acknowledgement is a witness's word on a claim.
type acknowledgement struct {
	slot  int
	reply RecordReply
}

// Claim answers an entry node at the home of a key.
func (k *Keeper) Claim(ctx context.Context, now time.Time, r ClaimRequest) ClaimReply {
	c, reply := k.begin(now, r)
	if reply.Status != StatusOK {
		k.count(reply.Status)
		return reply
	}
	reply.Status = k.witnessed(ctx, c)
	k.finish(c, reply.Status)
	k.count(reply.Status)
	return reply
}

// begin enters the claim in the table, where it holds off every other call
// with the key.
func (k *Keeper) begin(now time.Time, r ClaimRequest) (claim, ClaimReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.seat(now, r.Shard, homeSlot)
	if !ok {
		return claim{}, ClaimReply{Status: StatusNotHolder}
	}
	s.table.Expire(now)
	record, known := s.table.Find(r.Key)
	if known && record.Request != r.Request || known && record.Phase != table.PhaseRunning {
		return claim{}, duplicate(record, s.table.Answer(r.Key))
	}
	if !s.covered(now) {
		return claim{}, ClaimReply{Status: StatusNotCovered}
	}
	if k.claims >= maxClaims {
		return claim{}, ClaimReply{Status: StatusFull}
	}
	s.number++
	record = table.Record{
		Key: r.Key, Request: r.Request, Epoch: s.epoch, Number: s.number, ClaimedAt: now, Phase: table.PhaseRunning,
	}
	if !s.table.Put(record) {
		return claim{}, ClaimReply{Status: StatusFull}
	}
	k.claims++
	return claim{shard: r.Shard, epoch: s.epoch, record: record}, ClaimReply{Status: StatusOK}
}

func duplicate(record table.Record, answer gage.Result) ClaimReply {
	switch record.Phase {
	case table.PhaseRan:
		return ClaimReply{Status: StatusRan, Answer: answer}
	case table.PhaseRunning:
		return ClaimReply{Status: StatusRunning}
	default:
		return ClaimReply{Status: StatusUnknown}
	}
}

// witnessed has the claim recorded by a witness. The second one is asked when
// the first refuses or is slow.
func (k *Keeper) witnessed(ctx context.Context, c claim) Status {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	acks := make(chan acknowledgement, gage.MaxSlotsPerShard)
	pending := 0
	defer func() { k.options.Go(func() { drain(ctx, acks, pending, cancel) }) }()
	status := StatusNoWitness
	for _, slot := range k.witnesses(c.shard) {
		pending++
		k.options.Go(func() {
			acks <- acknowledgement{slot.Slot, k.askRecord(ctx, slot, c)}
		})
		ack, ok := receive(acks, hedgeAfter)
		if !ok {
			continue
		}
		pending--
		if status = k.weigh(c, ack); status == StatusOK {
			return status
		}
	}
	for pending > 0 {
		pending--
		if status = k.weigh(c, <-acks); status == StatusOK {
			return status
		}
	}
	return status
}

// witnesses returns the witnesses of a shard, beginning with the one that
// granted the last claim.
func (k *Keeper) witnesses(shard int) []gage.ShareSlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	preferred := homeSlot
	if s := k.seats[seatKey{shard, homeSlot}]; s != nil {
		preferred = s.preferred
	}
	var found []gage.ShareSlot
	for _, slot := range k.options.Shares.Slots(shard) {
		switch {
		case slot.Slot == homeSlot || slot.Epoch == 0:
		case slot.Slot == preferred:
			found = slices.Insert(found, 0, slot)
		default:
			found = append(found, slot)
		}
	}
	return found
}

// receive waits for an acknowledgement. One that is there already counts
// whatever the timer says.
func receive(acks <-chan acknowledgement, wait time.Duration) (acknowledgement, bool) {
	select {
	case ack := <-acks:
		return ack, true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ack := <-acks:
		return ack, true
	case <-timer.C:
		return acknowledgement{}, false
	}
}

// drain lets a slow witness finish.
func drain(ctx context.Context, acks <-chan acknowledgement, left int, cancel context.CancelFunc) {
	defer cancel()
	for range left {
		select {
		case <-acks:
		case <-ctx.Done():
			return
		}
	}
}

// weigh turns an acknowledgement into the claim's status.
func (k *Keeper) weigh(c claim, ack acknowledgement) Status {
	if ack.reply.Status != StatusOK {
		return StatusNoWitness
	}
	return k.grant(k.options.Clock.Now(), c, ack)
}

func (k *Keeper) askRecord(ctx context.Context, slot gage.ShareSlot, c claim) RecordReply {
	request := RecordRequest{Shard: c.shard, Slot: slot.Slot, HomeEpoch: c.epoch, Record: c.record}
	if slot.Holder == k.options.Self {
		return k.Record(k.options.Clock.Now(), request)
	}
	if slot.PeerAddress == "" {
		return RecordReply{Status: StatusNotHolder}
	}
	reply, err := k.options.Peers.Record(ctx, slot.PeerAddress, request)
	if err != nil {
		return RecordReply{Status: StatusNoWitness}
	}
	return reply
}

// grant decides, after a witness has recorded the claim, whether its call may
// run. The home must still be in standing. This is the second of two fences:
// the witnesses also refuse what a home sends after a later one has read them,
// which holds when this process was frozen after it read the clock.
func (k *Keeper) grant(now time.Time, c claim, ack acknowledgement) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.seat(now, c.shard, homeSlot)
	if !ok || s.epoch != c.epoch {
		return StatusNotHolder
	}
	if !s.hear(ack.slot, ack.reply.Epoch) {
		return StatusNoWitness
	}
	if !s.table.Grant(c.record.Key, c.record.Request, ack.slot) {
		return StatusStale
	}
	s.preferred = ack.slot
	return StatusOK
}

// finish frees the key of a claim that was not granted.
func (k *Keeper) finish(c claim, status Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims--
	s := k.seats[seatKey{c.shard, homeSlot}]
	if status != StatusOK && s != nil && s.epoch == c.epoch {
		s.table.Abandon(c.record.Key, c.record.Request)
	}
}

func (k *Keeper) count(status Status) {
	switch status {
	case StatusOK:
		k.counts.granted.Inc()
	case StatusRan, StatusRunning, StatusUnknown:
		k.counts.duplicates.Inc()
	case StatusNotCovered:
		k.counts.uncovered.Inc()
	default:
		k.counts.refused.Inc()
	}
}
