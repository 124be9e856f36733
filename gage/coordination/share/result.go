package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// HandleList processes the result of a list.
func (k *Keeper) HandleList(now time.Time, call StoreCall, entries []gage.Entry, err error) {
	k.isCallOutstanding = false
	if err != nil {
		k.isListRequested = k.isListRequested || call.IsRequested
		k.scheduleBackoff(now)
		return
	}
	k.resetBackoff()
	k.listedAt = now
	var isStored [gage.ShardCount]bool
	for _, entry := range entries {
		if shard, ok := shardOfKey(entry.Key); ok {
			isStored[shard] = true
			k.applyEntry(now, call.SentAt, shard, entry)
		}
	}
	for shard, stored := range isStored {
		if !stored {
			k.records[shard].isKnown = true
		}
	}
	k.planStoreCall(now)
}

// HandleSwap processes the result of a swap. entry is the entry that the store
// holds after the call. Hence the result also counts as a read of the store,
// whether or not the swap took effect.
func (k *Keeper) HandleSwap(now time.Time, call StoreCall, entry gage.Entry, err error) {
	k.isCallOutstanding = false
	if err != nil {
		k.scheduleBackoff(now)
		k.isListRequested = true
		return
	}
	k.resetBackoff()
	k.applyEntry(now, call.SentAt, call.Shard, entry)
	k.sendHandoverNotice(now, call)
	k.planStoreCall(now)
}

// sendHandoverNotice notifies the new holder if a handover took effect.
func (k *Keeper) sendHandoverNotice(now time.Time, call StoreCall) {
	if call.HandoverNotice.Address == "" {
		return
	}
	item := call.HandoverNotice.Request.Items[0]
	slots := k.records[item.Shard].record.Slots
	if slots[item.Slot].Holder != call.HandoverNotice.To {
		return
	}
	out := call.HandoverNotice
	out.SentAt = now
	k.effects.Requests = append(k.effects.Requests, out)
}

// applyEntry processes an entry read from the store at requestedAt, and offers it
// to the other nodes if it is new.
func (k *Keeper) applyEntry(now, requestedAt time.Time, shard int, entry gage.Entry) {
	record, err := Decode(entry.Value)
	if err != nil {
		return
	}
	isNewer := entry.Revision > k.records[shard].revision
	k.applyRecord(now, requestedAt, shard, entry.Revision, record)
	if isNewer {
		d := gage.Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value}
		k.effects.Offers = append(k.effects.Offers, d)
	}
}

func (k *Keeper) resetBackoff() {
	k.backoff = 0
}

// scheduleBackoff doubles the backoff, up to maxBackoff, and delays the next store
// call by a random time between half the backoff and the whole backoff.
func (k *Keeper) scheduleBackoff(now time.Time) {
	k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
	jitter := time.Duration(k.settings.Jitter() * float64(k.backoff) / 2)
	k.nextCallAt = now.Add(k.backoff/2 + jitter)
}
