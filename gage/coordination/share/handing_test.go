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

// settleTime is enough for each slot to get its members and be handed over
// once, at one change of members a second.
const settleTime = gage.ShareShards * gage.ShareSlots * 5 / 4 * time.Second

// world joins keepers and a store that answers at once.
type world struct {
	now      time.Time
	members  []gage.Member
	keepers  []*share.Keeper
	entries  map[string]gage.Entry
	revision int64
	swaps    int
	// movedAt is when a slot of a shard last got another holder, and closest
	// the shortest time between two such moves.
	movedAt map[int]time.Time
	closest time.Duration
}

func newWorld() *world {
	return &world{now: time.Unix(1_000_000, 0), entries: make(map[string]gage.Entry), movedAt: make(map[int]time.Time), closest: time.Hour}
}

func (w *world) join(vm, zone string) {
	m := gage.Member{
		VM: vm, Zone: zone, PeerAddress: vm, Phase: gage.MemberAlive, StartedAt: w.now.UnixMilli(),
	}
	w.members = append(w.members, m)
	w.keepers = append(w.keepers, share.NewKeeper(w.now, share.Settings{
		Self: m, TakeoverWait: 4 * time.Second, Jitter: func() float64 { return 0.5 },
	}))
}

// run lets time pass for all keepers.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, k := range w.keepers {
			k.Tick(w.now, func() []gage.Member { return w.members })
			w.act(k)
		}
	}
}

func (w *world) act(k *share.Keeper) {
	for {
		effects := k.Drain()
		for _, d := range effects.Offers {
			for _, other := range w.keepers {
				other.HandleDocument(w.now, d)
			}
		}
		for _, out := range effects.Requests {
			w.ask(k, out)
		}
		if effects.StoreCall == nil {
			return
		}
		w.call(k, *effects.StoreCall)
	}
}

func (w *world) ask(k *share.Keeper, out share.OutgoingConfirm) {
	for i, m := range w.members {
		if m.PeerAddress == out.Address {
			k.HandleReply(w.now, out, w.keepers[i].Confirm(w.now, out.Request))
		}
	}
}

func (w *world) call(k *share.Keeper, call share.StoreCall) {
	if call.IsList {
		var all []gage.Entry
		for _, e := range w.entries {
			all = append(all, e)
		}
		k.HandleList(w.now, call, all, nil)
		return
	}
	key := share.Key(call.Shard)
	if w.entries[key].Revision == call.Revision {
		value, err := share.Encode(call.Record)
		if err != nil {
			panic(err)
		}
		w.revision++
		w.swaps++
		w.noteMove(call)
		w.entries[key] = gage.Entry{Key: key, Value: value, Revision: w.revision}
	}
	k.HandleSwap(w.now, call, w.entries[key], nil)
}

func (w *world) noteMove(call share.StoreCall) {
	entry := w.entries[share.Key(call.Shard)]
	if entry.Revision == 0 {
		return
	}
	before, err := share.Decode(entry.Value)
	if err != nil {
		panic(err)
	}
	for slot, s := range call.Record.Slots {
		if s.Holder == before.Slots[slot].Holder {
			continue
		}
		if at, moved := w.movedAt[call.Shard]; moved {
			w.closest = min(w.closest, w.now.Sub(at))
		}
		w.movedAt[call.Shard] = w.now
	}
}

func TestHandedSlotsComeToRestInAZoneEach(t *testing.T) {
	vms := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	starts := [][]string{{"a1"}, {"a1", "a2"}, {"a1", "b1"}, {"a1", "a2", "b1"}, {"b1", "b2", "c1"}, {"a1", "c1", "c2"}}
	for _, first := range starts {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			w := newWorld()
			for _, vm := range first {
				w.join(vm, "zone-"+vm[:1])
			}
			w.run(4 * time.Second)
			for _, vm := range vms {
				if !slices.Contains(first, vm) {
					w.join(vm, "zone-"+vm[:1])
				}
			}
			w.run(settleTime)
			settled := w.swaps
			w.run(10 * time.Second)
			assert.Equal(t, w.swaps, settled, "slots still change hands")
			w.assertSpread(t)
			// A table of claims is copied from the shard's other slots, so two
			// of them must not change hands at once.
			assert.Assert(t, w.closest >= 3*time.Second, "two slots of a shard moved within %s", w.closest)
		})
	}
}

func TestAStoppingHolderGivesUpAShardsSlotsOneByOne(t *testing.T) {
	w := newWorld()
	w.join("a1", "zone-a")
	w.run(4 * time.Second)
	for _, vm := range []string{"a2", "b1", "b2", "c1", "c2"} {
		w.join(vm, "zone-"+vm[:1])
	}
	// All slots are still with the only VM of the beginning.
	w.keepers[0].Stop(w.now)
	w.run(3 * time.Second)
	assert.Assert(t, w.keepers[0].Done(), "slots are left when the time to hand over has passed")
	assert.Assert(t, w.closest >= 800*time.Millisecond, "two slots of a shard moved within %s", w.closest)
}

func (w *world) assertSpread(t *testing.T) {
	t.Helper()
	for shard := range gage.ShareShards {
		record, err := share.Decode(w.entries[share.Key(shard)].Value)
		assert.NilError(t, err)
		zones := make(map[string]bool)
		for _, slot := range record.Slots {
			zones[slot.Zone] = true
		}
		assert.Equal(t, len(zones), gage.ShareSlots, "shard %d: %+v", shard, record.Slots)
	}
}
