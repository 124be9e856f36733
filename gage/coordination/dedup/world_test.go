package dedup_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
)

var start = time.Unix(1_800_000_000, 0)

var errLost = errors.New("answer lost")

// holding is one epoch of a slot. It is in standing from its start until the
// next one's.
type holding struct {
	holder gage.Process
	from   time.Time
}

// world is a small fleet on one goroutine. Every shard has the same slots.
type world struct {
	now time.Time
	// shards is how many of the shards are held.
	shards int
	// slots lists the epochs of each slot, the first being epoch 1.
	slots [gage.ShareSlots][]holding
	nodes map[string]*node
	// fate decides what becomes of a message; nil delivers it.
	fate func(from *node, address string) fate
	// delayed are messages that arrive after their sender gave up.
	delayed []func()
	// pause runs other events before and after each message.
	pause    func()
	messages int
}

type fate string

const (
	fateDelivered  fate = "Delivered"
	fateNotSent    fate = "NotSent"
	fateLost       fate = "Lost"
	fateAnswerLost fate = "AnswerLost"
	fateDelayed    fate = "Delayed"
	fateTwice      fate = "Twice"
)

// node is one process.
type node struct {
	world   *world
	self    gage.Process
	dead    bool
	keeper  *dedup.Keeper
	claimer *dedup.Claimer
}

// newWorld has 5 VMs, of which the first three hold the slots.
func newWorld() *world {
	w := &world{now: start, shards: gage.ShareShards, nodes: make(map[string]*node)}
	for i := range 5 {
		w.boot(fmt.Sprint("vm-", i))
	}
	for slot := range w.slots {
		w.slots[slot] = []holding{{w.nodes[fmt.Sprint("vm-", slot)].self, start}}
	}
	return w
}

// Now implements gage.Clock. Other events may fall between the reading and
// its use.
func (w *world) Now() time.Time {
	now := w.now
	w.rest()
	return now
}

// boot starts a process on a VM in the place of the one before.
func (w *world) boot(vm string) {
	started := int64(1)
	if before := w.nodes[vm]; before != nil {
		before.dead = true
		started = before.self.StartedAt + 1
	}
	n := &node{world: w, self: gage.Process{VM: vm, StartedAt: started}}
	n.keeper = dedup.NewKeeper(dedup.KeeperOptions{
		Self: n.self, Shares: n, Peers: n, Clock: w, Logger: zap.NewNop(),
		Metrics: metrics.NewSet(), Go: func(task func()) { task() },
	})
	n.claimer = dedup.NewClaimer(n.self, n, n, n.keeper)
	w.nodes[vm] = n
}

// fence is how long a new holder waits for the old one to lose its standing.
const fence = 10 * time.Second

// takeOver gives a slot to another process, which comes into standing when
// the fence is over.
func (w *world) takeOver(slot int, vm string) {
	last := w.slots[slot][len(w.slots[slot])-1]
	if last.from.After(w.now) {
		return
	}
	w.slots[slot] = append(w.slots[slot], holding{w.nodes[vm].self, w.now.Add(fence)})
}

func (w *world) tend() {
	for i := range len(w.nodes) {
		w.nodes[fmt.Sprint("vm-", i)].keeper.CopyNewSlots(context.Background())
	}
}

// Slots implements gage.Shares.
func (n *node) Slots(shard int) []gage.ShareSlot {
	slots := make([]gage.ShareSlot, gage.ShareSlots)
	for i, epochs := range n.world.slots {
		last := epochs[len(epochs)-1]
		slots[i] = gage.ShareSlot{
			Shard: shard, Slot: i, Epoch: uint64(len(epochs)), Holder: last.holder,
			PeerAddress: last.holder.VM,
		}
	}
	return slots
}

// Standing implements gage.Shares.
func (n *node) Standing(shard, slot int, now time.Time) (uint64, bool) {
	if shard >= n.world.shards {
		return 0, false
	}
	epochs := n.world.slots[slot]
	for i := len(epochs) - 1; i >= 0; i-- {
		if !epochs[i].from.After(now) {
			return uint64(i + 1), epochs[i].holder == n.self
		}
	}
	return 0, false
}

// deliver carries a message from n to the process at address, which handles
// it. What a dead process does counts for nothing.
func (n *node) deliver(address string, handle func(to *node)) error {
	w := n.world
	w.messages++
	w.rest()
	to := w.nodes[address]
	once := func() {
		if !to.dead {
			handle(to)
		}
	}
	chosen := fateDelivered
	if w.fate != nil {
		chosen = w.fate(n, address)
	}
	if n.dead || to.dead {
		chosen = fateLost
	}
	switch chosen {
	case fateNotSent:
		return dedup.ErrNotSent
	case fateLost:
		return errLost
	case fateDelayed:
		w.delayed = append(w.delayed, once)
		return errLost
	case fateTwice:
		w.delayed = append(w.delayed, once)
	}
	once()
	w.rest()
	if chosen == fateAnswerLost || to.dead || n.dead {
		return errLost
	}
	return nil
}

func (w *world) rest() {
	if w.pause != nil {
		w.pause()
	}
}

// Claim implements dedup.Peers.
func (n *node) Claim(ctx context.Context, address string, r dedup.ClaimRequest) (reply dedup.ClaimReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Claim(ctx, n.world.Now(), r) })
	return reply, err
}

// Record implements dedup.Peers.
func (n *node) Record(_ context.Context, address string, r dedup.RecordRequest) (reply dedup.RecordReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Record(n.world.Now(), r) })
	return reply, err
}

// Settle implements dedup.Peers.
func (n *node) Settle(_ context.Context, address string, r dedup.SettleRequest) (reply dedup.SettleReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Settle(n.world.Now(), r) })
	return reply, err
}

// Page implements dedup.Peers.
func (n *node) Page(_ context.Context, address string, r dedup.PageRequest) (reply dedup.PageReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Page(n.world.Now(), r) })
	return reply, err
}

// call is the n-th caller's request with a key.
func call(n int, key string) gage.Call {
	return gage.Call{
		RequestID: fmt.Sprint("vm.", n), Attempt: 1, Depth: 1,
		Workspace: "casa", Route: "lodge", IdempotencyKey: key,
	}
}
