package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
)

const largeFleet = 2800

// BenchmarkTick measures one tick of 100 ms of a process that holds no slot, in
// a fleet of 2,800: once with all holders alive, and once with all dead.
func BenchmarkTick(b *testing.B) {
	for _, phase := range []gage.MemberPhase{gage.MemberAlive, gage.MemberDead} {
		b.Run("Holders"+string(phase), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			members := make([]gage.Member, 0, largeFleet)
			for i := range largeFleet {
				members = append(members, gage.Member{
					VM: fmt.Sprintf("vm%04d", i), Zone: fmt.Sprintf("zone%d", i%15),
					PeerAddress: "address", Phase: gage.MemberAlive, StartedAt: 1,
				})
			}
			k := share.NewKeeper(now, share.Settings{Self: members[0], Jitter: func() float64 { return 0.5 }})
			for shard := range gage.ShardCount {
				k.HandleDocument(now, heldRecord(b, shard, members))
			}
			for i := range gage.ShardCount * gage.MaxSlotsPerShard {
				members[1+i].Phase = phase
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tick)
				k.Tick(now, func() []gage.Member { return members })
				k.Drain()
			}
		})
	}
}

// heldRecord returns a record whose slots are held by the members from index 1
// on, in order of shard and slot.
func heldRecord(b *testing.B, shard int, members []gage.Member) gage.Document {
	record := share.Record{Slots: make([]share.Slot, gage.MaxSlotsPerShard)}
	for slot := range record.Slots {
		m := members[1+shard*gage.MaxSlotsPerShard+slot]
		record.Slots[slot] = share.Slot{
			Epoch: 1, Version: 1, Settled: true, Zone: m.Zone,
			Holder: gage.Process{VM: m.VM, StartedAt: m.StartedAt},
		}
	}
	value, err := share.Encode(record)
	assert.NilError(b, err)
	return gage.Document{Key: share.Key(shard), Revision: int64(shard) + 1, Value: value}
}
