package dedup

import (
	"context"
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The timeouts of a home that calls its witnesses.
const (
	recordTimeout = 400 * time.Millisecond
	// hedgeDelay is how long the home waits for the first witness before it also
	// sends the claim to the second.
	hedgeDelay = 10 * time.Millisecond
)

// pendingClaim is a claim in the home's table that no witness has recorded yet.
type pendingClaim struct {
	shard  int
	epoch  uint64
	record table.Record
}

// acknowledgement is a witness's reply to a RecordRequest.
type acknowledgement struct {
	slot  int
	reply RecordReply
}

// Claim processes a claim as the home of its key. It returns when a witness has
// recorded the claim or the claim has been refused.
func (k *Keeper) Claim(ctx context.Context, now time.Time, r ClaimRequest) ClaimReply {
	c, reply := k.insertClaim(now, r)
	if reply.Status != StatusOK {
		k.countStatus(reply.Status)
		return reply
	}
	reply.Status = k.recordAtWitness(ctx, c)
	k.finishClaim(c, reply.Status)
	k.countStatus(reply.Status)
	return reply
}

// insertClaim adds the claim to the table. From then on claims of other calls
// with the key are refused.
func (k *Keeper) insertClaim(now time.Time, r ClaimRequest) (pendingClaim, ClaimReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.currentSlot(now, r.Shard, homeSlot)
	if !ok {
		return pendingClaim{}, ClaimReply{Status: StatusNotHolder}
	}
	s.table.Expire(now)
	record, known := s.table.Find(r.Key)
	if known && record.Request != r.Request || known && record.Phase != table.PhaseRunning {
		return pendingClaim{}, duplicateReply(record, s.table.Answer(r.Key))
	}
	if !s.coversRetention(now) {
		return pendingClaim{}, ClaimReply{Status: StatusNotCovered}
	}
	if k.pendingClaims >= maxPendingClaims {
		return pendingClaim{}, ClaimReply{Status: StatusFull}
	}
	s.lastNumber++
	record = table.Record{
		Key: r.Key, Request: r.Request, Epoch: s.epoch, Number: s.lastNumber, ClaimedAt: now, Phase: table.PhaseRunning,
	}
	if !s.table.Put(record) {
		return pendingClaim{}, ClaimReply{Status: StatusFull}
	}
	k.pendingClaims++
	return pendingClaim{shard: r.Shard, epoch: s.epoch, record: record}, ClaimReply{Status: StatusOK}
}

// duplicateReply returns the reply to a claim on the key of an existing record.
func duplicateReply(record table.Record, answer gage.Result) ClaimReply {
	switch record.Phase {
	case table.PhaseRan:
		return ClaimReply{Status: StatusRan, Answer: answer}
	case table.PhaseRunning:
		return ClaimReply{Status: StatusRunning}
	default:
		return ClaimReply{Status: StatusUnknown}
	}
}

// recordAtWitness sends the claim to a witness, and also to the second one if the
// first refuses or does not reply within hedgeDelay. It returns StatusOK once the
// claim has been granted.
func (k *Keeper) recordAtWitness(ctx context.Context, c pendingClaim) Status {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	acks := make(chan acknowledgement, gage.MaxSlotsPerShard)
	pendingAcks := 0
	defer func() { k.options.Go(func() { awaitAcks(ctx, acks, pendingAcks, cancel) }) }()
	status := StatusNoWitness
	for _, slot := range k.witnesses(c.shard) {
		pendingAcks++
		k.options.Go(func() {
			acks <- acknowledgement{slot.Slot, k.requestRecord(ctx, slot, c)}
		})
		ack, ok := receiveAck(acks, hedgeDelay)
		if !ok {
			continue
		}
		pendingAcks--
		if status = k.applyAck(c, ack); status == StatusOK {
			return status
		}
	}
	for pendingAcks > 0 {
		pendingAcks--
		if status = k.applyAck(c, <-acks); status == StatusOK {
			return status
		}
	}
	return status
}

// witnesses returns the witness slots of a shard, first the one that recorded the
// last granted claim.
func (k *Keeper) witnesses(shard int) []gage.ShareSlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	preferredWitness := homeSlot
	if s := k.heldSlots[slotID{shard, homeSlot}]; s != nil {
		preferredWitness = s.preferredWitness
	}
	var found []gage.ShareSlot
	for _, slot := range k.options.Shares.Slots(shard) {
		switch {
		case slot.Slot == homeSlot || slot.Epoch == 0:
		case slot.Slot == preferredWitness:
			found = slices.Insert(found, 0, slot)
		default:
			found = append(found, slot)
		}
	}
	return found
}

// receiveAck waits up to maxWait for an acknowledgement. It returns one that has
// already arrived even if maxWait is 0.
func receiveAck(acks <-chan acknowledgement, maxWait time.Duration) (acknowledgement, bool) {
	select {
	case ack := <-acks:
		return ack, true
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case ack := <-acks:
		return ack, true
	case <-timer.C:
		return acknowledgement{}, false
	}
}

// awaitAcks waits for the remaining replies of slow witnesses and then calls
// cancel, so that their requests are not canceled earlier. It stops waiting when
// ctx ends.
func awaitAcks(ctx context.Context, acks <-chan acknowledgement, remaining int, cancel context.CancelFunc) {
	defer cancel()
	for range remaining {
		select {
		case <-acks:
		case <-ctx.Done():
			return
		}
	}
}

// applyAck grants the claim if the witness has recorded it, and returns the
// claim's new status.
func (k *Keeper) applyAck(c pendingClaim, ack acknowledgement) Status {
	if ack.reply.Status != StatusOK {
		return StatusNoWitness
	}
	return k.grant(k.options.Clock.Now(), c, ack)
}

// requestRecord makes a witness record the claim. It sends a message unless this
// process is the witness.
func (k *Keeper) requestRecord(ctx context.Context, slot gage.ShareSlot, c pendingClaim) RecordReply {
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

// grant grants the claim after a witness has recorded it, provided that this
// process still has the lease on the home slot. The lease check alone is not safe
// if this process is suspended after it read the clock. Therefore a witness also
// refuses the claims of a home once a later home has started to copy the witness's
// records.
func (k *Keeper) grant(now time.Time, c pendingClaim, ack acknowledgement) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.currentSlot(now, c.shard, homeSlot)
	if !ok || s.epoch != c.epoch {
		return StatusNotHolder
	}
	if !s.observeEpoch(ack.slot, ack.reply.Epoch) {
		return StatusNoWitness
	}
	if !s.table.Grant(c.record.Key, c.record.Request, ack.slot) {
		return StatusStale
	}
	s.preferredWitness = ack.slot
	return StatusOK
}

// finishClaim ends a pending claim. Unless status is StatusOK, it also removes the
// claim's record, provided that this process holds the slot at the same epoch.
func (k *Keeper) finishClaim(c pendingClaim, status Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingClaims--
	s := k.heldSlots[slotID{c.shard, homeSlot}]
	if status != StatusOK && s != nil && s.epoch == c.epoch {
		s.table.Abandon(c.record.Key, c.record.Request)
	}
}

// countStatus increments the metric of a claim's status.
func (k *Keeper) countStatus(status Status) {
	switch status {
	case StatusOK:
		k.counts.granted.Inc()
	case StatusRan, StatusRunning, StatusUnknown:
		k.counts.duplicates.Inc()
	case StatusNotCovered:
		k.counts.notCovered.Inc()
	default:
		k.counts.refused.Inc()
	}
}
