package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// simulation runs the state machines of a small fleet in simulated time.
type simulation struct {
	start time.Time
	// now is the true time. Each node reads a clock that deviates from it by an
	// offset and a drift.
	now   time.Time
	queue events
	// lastSequence is the sequence of the newest event.
	lastSequence uint64
	random       *rand.Rand
	settings     simulationSettings
	nodes        []*node
	store        *memoryStore
	// linkCut[a][b] is true while messages from node a to node b are dropped.
	// The last index stands for the store.
	linkCut [][]bool
	oracle  *oracle
	// configs are the configurations applied so far.
	configs []*gage.Config
	// violations are the broken invariants found so far.
	violations []string
	tally      tally
	calls      []callRecord
}

// simulationSettings are the probabilities of faults, the switches that turn
// single mechanisms off, and the size and delays of the fleet.
type simulationSettings struct {
	// lossChance, duplicateChance and slowChance are probabilities for each
	// message. If slowChance is not 0, calls may also use their tokens late and
	// arrive in bursts.
	lossChance, duplicateChance, slowChance float64
	// freezeChance is the probability that a process freezes after a step.
	freezeChance float64
	// replyLossChance is the probability that the reply to a call to the store is
	// lost.
	replyLossChance float64
	// gossipLossChance is the probability that a heartbeat lacks a given
	// document or the configuration.
	gossipLossChance float64
	takeoverWait     time.Duration
	// maxConfigDelay is the longest delay before an applied configuration
	// reaches a node.
	maxConfigDelay time.Duration
	// forgetVersions makes confirming members report version 0 instead of the
	// newest version that they know, except in replies to takeover requests.
	forgetVersions bool
	// assumeAdopted makes each reply to an AdoptedRequest confirm all slots.
	assumeAdopted bool
	// nodeCount is the number of nodes. They are spread over three zones.
	nodeCount int
}

// tally counts the calls by result, the requests to other nodes by kind and the
// calls to the store.
type tally struct {
	calls, granted, overRate, unavailable, expired             int
	takeRequests, confirmRequests, adoptedRequests, storeCalls int
}

func defaultSettings() simulationSettings {
	return simulationSettings{takeoverWait: fence.LeaseDuration + fence.DriftMargin, maxConfigDelay: 2 * time.Second, nodeCount: 5}
}

type event struct {
	at time.Time
	// sequence orders events with the same time.
	sequence uint64
	run      func()
}

// events is a heap with the earliest event at the top.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, settings simulationSettings) *simulation {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{start: start, now: start, random: rand.New(rand.NewPCG(seed, 7)), settings: settings}
	sim.store = newMemoryStore()
	sim.oracle = newOracle()
	for i := range settings.nodeCount {
		sim.nodes = append(sim.nodes, &node{sim: sim, index: i, vm: fmt.Sprintf("vm%02d", i), zone: fmt.Sprintf("zone%d", i%3)})
	}
	sim.linkCut = make([][]bool, settings.nodeCount+1)
	for i := range sim.linkCut {
		sim.linkCut[i] = make([]bool, settings.nodeCount+1)
	}
	for _, n := range sim.nodes {
		n.boot()
	}
	return sim
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(delay), sequence: sim.lastSequence, run: run})
}

func (sim *simulation) runFor(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func (sim *simulation) chance(p float64) bool {
	return p > 0 && sim.random.Float64() < p
}

// hopDelay returns a random delay for one message.
func (sim *simulation) hopDelay() time.Duration {
	if sim.chance(sim.settings.slowChance) {
		return time.Duration(sim.random.Int64N(int64(600 * time.Millisecond)))
	}
	return 200*time.Microsecond + time.Duration(sim.random.Int64N(int64(600*time.Microsecond)))
}

// send calls deliver after the network delay. It calls deliver twice if the message
// is duplicated, and not at all if the message is lost.
func (sim *simulation) send(from, to int, deliver func()) {
	if sim.linkCut[from][to] || sim.chance(sim.settings.lossChance) {
		return
	}
	sim.schedule(sim.hopDelay(), deliver)
	if sim.chance(sim.settings.duplicateChance) {
		sim.schedule(sim.hopDelay(), deliver)
	}
}

func (sim *simulation) applyConfig(config *gage.Config) {
	sim.configs = append(sim.configs, config)
	sim.oracle.recordConfigs(sim)
	for _, n := range sim.nodes {
		n.deliverConfig(len(sim.configs) - 1)
	}
}

// checkExclusive records a violation for each slot that more than one process
// may serve now.
func (sim *simulation) checkExclusive() {
	for shard := range gage.ShardCount {
		for slot := range gage.MaxSlotsPerShard {
			var holders []string
			for _, n := range sim.nodes {
				if _, ok := n.HeldEpoch(shard, slot, n.localTime()); n.isRunning && ok {
					holders = append(holders, n.vm)
				}
			}
			if len(holders) > 1 {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: shard %d slot %d served by %v", sim.now.Sub(sim.start), shard, slot, holders))
			}
		}
	}
}

// sendTake sends a TakeRequest from a node to a holder, and the reply back.
func (sim *simulation) sendTake(n *node, out quota.OutgoingTake) {
	process := n.process
	isFinished := false
	handleReply := func(reply quota.TakeReply, ok bool) {
		n.runStep(process, func(now time.Time) {
			if !isFinished {
				isFinished = true
				n.requester.HandleReply(now, out.ID, reply, ok)
			}
		})
	}
	sim.schedule(out.Timeout, func() { handleReply(quota.TakeReply{}, false) })
	sim.schedule(quota.HedgeDelay, func() { n.runStep(process, func(now time.Time) { n.requester.MarkOverdue(now, out.ID) }) })
	holder := n
	if !out.Local {
		sim.tally.takeRequests++
		holder = sim.nodeAt(out.Address)
	}
	sim.send(n.index, holder.index, func() {
		holder.runStep(holder.process, func(now time.Time) {
			reply := holder.issuer.Take(now, out.Request)
			sim.send(holder.index, n.index, func() { handleReply(reply, true) })
		})
	})
}

func (sim *simulation) nodeAt(address string) *node {
	for _, n := range sim.nodes {
		if n.vm == address {
			return n
		}
	}
	panic("no node at " + address)
}

func (sim *simulation) sendConfirm(n *node, out share.OutgoingConfirm) {
	process := n.process
	member := sim.nodeAt(out.Address)
	sim.tally.confirmRequests++
	sim.send(n.index, member.index, func() {
		member.runKeeperStep(member.process, func(now time.Time) {
			reply := member.keeper.Confirm(now, out.Request)
			for i := range reply.Items {
				if sim.settings.forgetVersions && !out.Request.Items[i].IsTakeover {
					reply.Items[i].NewestVersion = 0
				}
			}
			sim.send(member.index, n.index, func() {
				n.runKeeperStep(process, func(now time.Time) { n.keeper.HandleReply(now, out, reply) })
			})
		})
	})
}

func (sim *simulation) sendAdopted(n *node, out quota.OutgoingAdopted) {
	process := n.process
	holder := sim.nodeAt(out.Address)
	sim.tally.adoptedRequests++
	sim.send(n.index, holder.index, func() {
		holder.runStep(holder.process, func(now time.Time) {
			reply := holder.issuer.Adopted(now, out.Request)
			if sim.settings.assumeAdopted {
				reply = quota.AdoptedReply{Generation: out.Generation, AdoptedSlots: out.Request.Slots}
			}
			sim.send(holder.index, n.index, func() {
				n.runStep(process, func(now time.Time) { n.issuer.HandleAdopted(now, out, reply) })
			})
		})
	})
}

// callStore sends a call to the store, and the reply back. A call without a
// reply within 2 s counts as failed, though it may have taken effect.
func (sim *simulation) callStore(n *node, call share.StoreCall) {
	process := n.process
	sim.tally.storeCalls++
	storeIndex := len(sim.nodes)
	isFinished := false
	finish := func(handle func(now time.Time)) {
		n.runKeeperStep(process, func(now time.Time) {
			if !isFinished {
				isFinished = true
				handle(now)
			}
		})
	}
	sim.schedule(2*time.Second, func() {
		finish(func(now time.Time) { n.handleStoreReply(now, call, storeReply{err: errStoreTimeout}) })
	})
	sim.send(n.index, storeIndex, func() {
		if sim.store.isDown {
			return
		}
		reply := sim.store.execute(call)
		if sim.chance(sim.settings.replyLossChance) {
			return
		}
		sim.send(storeIndex, n.index, func() {
			finish(func(now time.Time) { n.handleStoreReply(now, call, reply) })
		})
	})
}
