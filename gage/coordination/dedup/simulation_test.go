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

var startTime = time.Unix(1_800_000_000, 0)

var errLost = errors.New("message or reply lost")

// tenure is one epoch of a slot. Its holder has the lease from startsAt until
// the next tenure starts.
type tenure struct {
	holder   gage.Process
	startsAt time.Time
}

// simulation is a small fleet on one goroutine. All shards have the same holders.
type simulation struct {
	now time.Time
	// shards is the number of shards that have holders. They are the first ones.
	shards int
	// slots lists the tenures of each slot, beginning with epoch 1.
	slots [gage.MaxSlotsPerShard][]tenure
	nodes map[string]*node
	// chooseOutcome decides whether a message is delivered. If it is nil, all
	// messages are delivered.
	chooseOutcome func(from *node, address string) deliveryOutcome
	// delayed are messages that are delivered after their senders timed out.
	delayed []func()
	// interleave performs other events before and after each message.
	interleave func()
	// messages is the number of messages sent.
	messages int
}

type deliveryOutcome string

const (
	outcomeDelivered  deliveryOutcome = "Delivered"
	outcomeNotSent    deliveryOutcome = "NotSent"
	outcomeLost       deliveryOutcome = "Lost"
	outcomeAnswerLost deliveryOutcome = "AnswerLost"
	outcomeDelayed    deliveryOutcome = "Delayed"
	outcomeTwice      deliveryOutcome = "Twice"
)

// node is one process. It is also its Keeper's share table and message transport.
type node struct {
	simulation *simulation
	self       gage.Process
	isDead     bool
	keeper     *dedup.Keeper
	claimer    *dedup.Claimer
}

// newSimulation returns a fleet of 5 VMs, of which the first three hold the slots.
func newSimulation() *simulation {
	sim := &simulation{now: startTime, shards: gage.ShardCount, nodes: make(map[string]*node)}
	for i := range 5 {
		sim.startProcess(fmt.Sprint("vm-", i))
	}
	for slot := range sim.slots {
		sim.slots[slot] = []tenure{{sim.nodes[fmt.Sprint("vm-", slot)].self, startTime}}
	}
	return sim
}

// Now implements gage.Clock. The simulation may perform other events between
// the reading of the clock and the use of the time.
func (sim *simulation) Now() time.Time {
	now := sim.now
	sim.runInterleaved()
	return now
}

// startProcess starts a process on a VM and ends the previous one.
func (sim *simulation) startProcess(vm string) {
	startedAt := int64(1)
	if previous := sim.nodes[vm]; previous != nil {
		previous.isDead = true
		startedAt = previous.self.StartedAt + 1
	}
	n := &node{simulation: sim, self: gage.Process{VM: vm, StartedAt: startedAt}}
	n.keeper = dedup.NewKeeper(dedup.KeeperOptions{
		Self: n.self, Shares: n, Peers: n, Clock: sim, Logger: zap.NewNop(),
		Metrics: metrics.NewSet(), Go: func(task func()) { task() },
	})
	n.claimer = dedup.NewClaimer(n.self, n, n, n.keeper)
	sim.nodes[vm] = n
}

// takeoverDelay is how long a new holder waits for the lease of the old one to
// expire.
const takeoverDelay = 10 * time.Second

// startTakeover assigns a slot to the process on vm. The lease of that process
// starts after takeoverDelay. startTakeover does nothing while another takeover is under way.
func (sim *simulation) startTakeover(slot int, vm string) {
	last := sim.slots[slot][len(sim.slots[slot])-1]
	if last.startsAt.After(sim.now) {
		return
	}
	sim.slots[slot] = append(sim.slots[slot], tenure{sim.nodes[vm].self, sim.now.Add(takeoverDelay)})
}

func (sim *simulation) copyAll() {
	for i := range len(sim.nodes) {
		sim.nodes[fmt.Sprint("vm-", i)].keeper.CopyNewSlots(context.Background())
	}
}

// Slots implements gage.Shares.
func (n *node) Slots(shard int) []gage.ShareSlot {
	slots := make([]gage.ShareSlot, gage.MaxSlotsPerShard)
	for i, tenures := range n.simulation.slots {
		last := tenures[len(tenures)-1]
		slots[i] = gage.ShareSlot{
			Shard: shard, Slot: i, Epoch: uint64(len(tenures)), Holder: last.holder,
			PeerAddress: last.holder.VM,
		}
	}
	return slots
}

// HeldEpoch implements gage.Shares.
func (n *node) HeldEpoch(shard, slot int, now time.Time) (uint64, bool) {
	if shard >= n.simulation.shards {
		return 0, false
	}
	tenures := n.simulation.slots[slot]
	for i := len(tenures) - 1; i >= 0; i-- {
		if !tenures[i].startsAt.After(now) {
			return uint64(i + 1), tenures[i].holder == n.self
		}
	}
	return 0, false
}

// deliver sends a message from n to the process at address. Messages from and to
// ended processes are lost.
func (n *node) deliver(address string, handle func(to *node)) error {
	sim := n.simulation
	sim.messages++
	sim.runInterleaved()
	to := sim.nodes[address]
	handleIfAlive := func() {
		if !to.isDead {
			handle(to)
		}
	}
	outcome := outcomeDelivered
	if sim.chooseOutcome != nil {
		outcome = sim.chooseOutcome(n, address)
	}
	if n.isDead || to.isDead {
		outcome = outcomeLost
	}
	switch outcome {
	case outcomeNotSent:
		return dedup.ErrNotSent
	case outcomeLost:
		return errLost
	case outcomeDelayed:
		sim.delayed = append(sim.delayed, handleIfAlive)
		return errLost
	case outcomeTwice:
		sim.delayed = append(sim.delayed, handleIfAlive)
	}
	handleIfAlive()
	sim.runInterleaved()
	if outcome == outcomeAnswerLost || to.isDead || n.isDead {
		return errLost
	}
	return nil
}

func (sim *simulation) runInterleaved() {
	if sim.interleave != nil {
		sim.interleave()
	}
}

// Claim implements dedup.Peers.
func (n *node) Claim(ctx context.Context, address string, r dedup.ClaimRequest) (reply dedup.ClaimReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Claim(ctx, n.simulation.Now(), r) })
	return reply, err
}

// Record implements dedup.Peers.
func (n *node) Record(_ context.Context, address string, r dedup.RecordRequest) (reply dedup.RecordReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Record(n.simulation.Now(), r) })
	return reply, err
}

// Settle implements dedup.Peers.
func (n *node) Settle(_ context.Context, address string, r dedup.SettleRequest) (reply dedup.SettleReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Settle(n.simulation.Now(), r) })
	return reply, err
}

// Page implements dedup.Peers.
func (n *node) Page(_ context.Context, address string, r dedup.PageRequest) (reply dedup.PageReply, err error) {
	err = n.deliver(address, func(to *node) { reply = to.keeper.Page(n.simulation.Now(), r) })
	return reply, err
}

// call returns the n-th request, with the given idempotency key.
func call(n int, key string) gage.Call {
	return gage.Call{
		RequestID: fmt.Sprint("vm.", n), Attempt: 1, Depth: 1,
		Workspace: "casa", Route: "lodge", IdempotencyKey: key,
	}
}
