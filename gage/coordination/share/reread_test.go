package share_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
)

// A record that names this process as the holder may arrive by gossip while a
// list is outstanding. The result of that list may be older than the record, so
// another list must follow.
func TestListIsSentAgainAfterGossipDuringList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	self := gage.Member{VM: "vm0", Zone: "zone", PeerAddress: "vm0", Phase: gage.MemberAlive, StartedAt: 1}
	members := func() []gage.Member { return []gage.Member{self} }
	k := share.NewKeeper(now, share.Settings{Self: self, Jitter: func() float64 { return 0.5 }})
	now = now.Add(2 * time.Second)
	k.Tick(now, members)
	firstList := k.Drain().StoreCall
	assert.Assert(t, firstList != nil && firstList.IsList)

	record := share.Record{Slots: make([]share.Slot, gage.MaxSlotsPerShard)}
	for slot := range record.Slots {
		record.Slots[slot] = share.Slot{Epoch: 2, Version: 2, Settled: true, Holder: gage.Process{VM: "vm0", StartedAt: 1}}
	}
	value, err := share.Encode(record)
	assert.NilError(t, err)
	var entries []gage.Entry
	for shard := range gage.ShardCount {
		entries = append(entries, gage.Entry{Key: share.Key(shard), Value: value, Revision: 9})
		k.HandleDocument(now, gage.Document{Key: share.Key(shard), Value: value, Revision: 9})
	}
	k.HandleList(now, *firstList, nil, nil)
	k.Tick(now.Add(time.Millisecond), members)
	secondList := k.Drain().StoreCall
	assert.Assert(t, secondList != nil && secondList.IsList)
	k.HandleList(now, *secondList, entries, nil)
	_, ok := k.Snapshot().HeldEpoch(3, 0, now)
	assert.Assert(t, ok)
}
