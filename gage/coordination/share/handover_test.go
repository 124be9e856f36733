package share_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
)

const tick = 100 * time.Millisecond

// settleTime allows 1.25 s for each slot, enough for one process to change the
// confirming members of every slot and to hand every slot over.
const settleTime = gage.ShardCount * gage.MaxSlotsPerShard * 5 / 4 * time.Second

// simulation simulates keepers and a store that replies immediately.
type simulation struct {
	now      time.Time
	members  []gage.Member
	keepers  []*share.Keeper
	entries  map[string]gage.Entry
	revision int64
	swaps    int
	// movedAt is, per shard, when the holder of one of its slots last changed.
	movedAt map[int]time.Time
	// minMoveGap is the shortest time between two holder changes in one shard.
	minMoveGap time.Duration
}

func newSimulation() *simulation {
	return &simulation{now: time.Unix(1_000_000, 0), entries: make(map[string]gage.Entry), movedAt: make(map[int]time.Time), minMoveGap: time.Hour}
}

func (sim *simulation) join(vm, zone string) {
	m := gage.Member{
		VM: vm, Zone: zone, PeerAddress: vm, Phase: gage.MemberAlive, StartedAt: sim.now.UnixMilli(),
	}
	sim.members = append(sim.members, m)
	sim.keepers = append(sim.keepers, share.NewKeeper(sim.now, share.Settings{
		Self: m, TakeoverWait: 4 * time.Second, Jitter: func() float64 { return 0.5 },
	}))
}

// run advances the time and ticks all keepers.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		for _, k := range sim.keepers {
			k.Tick(sim.now, func() []gage.Member { return sim.members })
			sim.performEffects(k)
		}
	}
}

func (sim *simulation) performEffects(k *share.Keeper) {
	for {
		effects := k.Drain()
		for _, d := range effects.Offers {
			for _, other := range sim.keepers {
				other.HandleDocument(sim.now, d)
			}
		}
		for _, out := range effects.Requests {
			sim.deliverRequest(k, out)
		}
		if effects.StoreCall == nil {
			return
		}
		sim.executeCall(k, *effects.StoreCall)
	}
}

func (sim *simulation) deliverRequest(k *share.Keeper, out share.OutgoingConfirm) {
	for i, m := range sim.members {
		if m.PeerAddress == out.Address {
			k.HandleReply(sim.now, out, sim.keepers[i].Confirm(sim.now, out.Request))
		}
	}
}

func (sim *simulation) executeCall(k *share.Keeper, call share.StoreCall) {
	if call.IsList {
		var entries []gage.Entry
		for _, e := range sim.entries {
			entries = append(entries, e)
		}
		k.HandleList(sim.now, call, entries, nil)
		return
	}
	key := share.Key(call.Shard)
	if sim.entries[key].Revision == call.Revision {
		value, err := share.Encode(call.Record)
		if err != nil {
			panic(err)
		}
		sim.revision++
		sim.swaps++
		sim.recordMove(call)
		sim.entries[key] = gage.Entry{Key: key, Value: value, Revision: sim.revision}
	}
	k.HandleSwap(sim.now, call, sim.entries[key], nil)
}

func (sim *simulation) recordMove(call share.StoreCall) {
	entry := sim.entries[share.Key(call.Shard)]
	if entry.Revision == 0 {
		return
	}
	previous, err := share.Decode(entry.Value)
	if err != nil {
		panic(err)
	}
	for slot, s := range call.Record.Slots {
		if s.Holder == previous.Slots[slot].Holder {
			continue
		}
		if at, moved := sim.movedAt[call.Shard]; moved {
			sim.minMoveGap = min(sim.minMoveGap, sim.now.Sub(at))
		}
		sim.movedAt[call.Shard] = sim.now
	}
}

func TestSlotsConvergeToOnePerZone(t *testing.T) {
	vms := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	startingFleets := [][]string{{"a1"}, {"a1", "a2"}, {"a1", "b1"}, {"a1", "a2", "b1"}, {"b1", "b2", "c1"}, {"a1", "c1", "c2"}}
	for _, firstVMs := range startingFleets {
		t.Run(fmt.Sprint(firstVMs), func(t *testing.T) {
			sim := newSimulation()
			for _, vm := range firstVMs {
				sim.join(vm, "zone-"+vm[:1])
			}
			sim.run(4 * time.Second)
			for _, vm := range vms {
				if !slices.Contains(firstVMs, vm) {
					sim.join(vm, "zone-"+vm[:1])
				}
			}
			sim.run(settleTime)
			swapsBefore := sim.swaps
			sim.run(10 * time.Second)
			assert.Equal(t, sim.swaps, swapsBefore, "swaps continue after the slots should have converged")
			sim.assertOneSlotPerZone(t)
			// A new holder copies its claims from the shard's other slots, so
			// two slots must not change holders at the same time.
			assert.Assert(t, sim.minMoveGap >= 3*time.Second, "two slots of a shard moved within %s", sim.minMoveGap)
		})
	}
}

func TestStopHandsOverSlotsOfAShardOneByOne(t *testing.T) {
	sim := newSimulation()
	sim.join("a1", "zone-a")
	sim.run(4 * time.Second)
	for _, vm := range []string{"a2", "b1", "b2", "c1", "c2"} {
		sim.join(vm, "zone-"+vm[:1])
	}
	// The first VM still holds all slots.
	sim.keepers[0].Stop(sim.now)
	sim.run(3 * time.Second)
	assert.Assert(t, sim.keepers[0].Done(), "the stopped process still holds slots")
	assert.Assert(t, sim.minMoveGap >= 800*time.Millisecond, "two slots of a shard moved within %s", sim.minMoveGap)
}

func (sim *simulation) assertOneSlotPerZone(t *testing.T) {
	t.Helper()
	for shard := range gage.ShardCount {
		record, err := share.Decode(sim.entries[share.Key(shard)].Value)
		assert.NilError(t, err)
		zones := make(map[string]bool)
		for _, slot := range record.Slots {
			zones[slot.Zone] = true
		}
		assert.Equal(t, len(zones), gage.MaxSlotsPerShard, "shard %d: %+v", shard, record.Slots)
	}
}
