package share

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// HandleList takes in the answer to a list.
func (k *Keeper) HandleList(now time.Time, call StoreCall, entries []gage.Entry, err error) {
	k.calling = false
	if err != nil {
		k.listSoon = k.listSoon || call.IsRequested
		k.failed(now)
		return
	}
	k.succeeded()
	k.lastList = now
	var seen [gage.ShareShards]bool
	for _, entry := range entries {
		if shard, ok := shardOfKey(entry.Key); ok {
			seen[shard] = true
			k.entry(now, call.SentAt, shard, entry)
		}
	}
	for shard, present := range seen {
		if !present {
			k.views[shard].known = true
		}
	}
	k.plan(now)
}

// HandleSwap takes in the answer to a swap. Its entry is the one in force, so
// that it counts as a read whether or not the swap took effect.
func (k *Keeper) HandleSwap(now time.Time, call StoreCall, entry gage.Entry, err error) {
	k.calling = false
	if err != nil {
		k.failed(now)
		k.listSoon = true
		return
	}
	k.succeeded()
	k.entry(now, call.SentAt, call.Shard, entry)
	k.notify(now, call)
	k.plan(now)
}

// notify tells the process to which a slot was handed over, once it was.
func (k *Keeper) notify(now time.Time, call StoreCall) {
	if call.HandoverNotice.Address == "" {
		return
	}
	item := call.HandoverNotice.Request.Items[0]
	slots := k.views[item.Shard].record.Slots
	if slots[item.Slot].Holder != call.HandoverNotice.To {
		return
	}
	out := call.HandoverNotice
	out.SentAt = now
	k.out.Requests = append(k.out.Requests, out)
}

func (k *Keeper) entry(now, askedAt time.Time, shard int, entry gage.Entry) {
	record, err := Decode(entry.Value)
	if err != nil {
		return
	}
	newer := entry.Revision > k.views[shard].revision
	k.apply(now, askedAt, shard, entry.Revision, record)
	if newer {
		d := gage.Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value}
		k.out.Offers = append(k.out.Offers, d)
	}
}

func (k *Keeper) succeeded() {
	k.backoff = 0
}

func (k *Keeper) failed(now time.Time) {
	k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
	jitter := time.Duration(k.settings.Jitter() * float64(k.backoff) / 2)
	k.nextCall = now.Add(k.backoff/2 + jitter)
}
