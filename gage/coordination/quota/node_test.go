package quota_test

import (
	"errors"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
)

const (
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	// deadTimeout is the time without a heartbeat after which a member counts
	// as dead.
	deadTimeout = 4 * time.Second
)

var errStoreTimeout = errors.New("the store did not reply in time")

// memoryStore simulates the platform's key-value store.
type memoryStore struct {
	isDown   bool
	revision int64
	entries  map[string]gage.Entry
}

type storeReply struct {
	entries []gage.Entry
	entry   gage.Entry
	err     error
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: make(map[string]gage.Entry)}
}

func (s *memoryStore) execute(call share.StoreCall) storeReply {
	if call.IsList {
		var reply storeReply
		for shard := range gage.ShardCount {
			if entry, ok := s.entries[share.Key(shard)]; ok {
				reply.entries = append(reply.entries, entry)
			}
		}
		return reply
	}
	key := share.Key(call.Shard)
	if s.entries[key].Revision == call.Revision {
		value, err := share.Encode(call.Record)
		if err != nil {
			return storeReply{err: err}
		}
		s.revision++
		s.entries[key] = gage.Entry{Key: key, Value: value, Revision: s.revision}
	}
	return storeReply{entry: s.entries[key]}
}

// callRecord is a call that entered the fleet.
type callRecord struct {
	enteredAt time.Time
	workspace string
	// node is the index of the node where the call entered.
	node int
	// isGranted is set once the call has used a token that had not expired.
	isGranted bool
}

// node is a VM and the process on it, if running. It implements gage.Shares for
// that process.
type node struct {
	sim   *simulation
	index int
	vm    string
	zone  string
	// isRunning is true while a process runs on the VM.
	isRunning bool
	// process is the running process, or the last one if none is running.
	process gage.Process
	// clockOffset and clockDrift define the process's clock relative to true
	// time.
	clockOffset time.Duration
	clockDrift  float64
	// frozenUntil is the time before which the process makes no steps.
	frozenUntil time.Time
	keeper      *share.Keeper
	issuer      *quota.Issuer
	requester   *quota.Requester
	snapshot    *share.Snapshot
	// documents holds the newest share records that the process knows, by key.
	documents map[string]gage.Document
	// configIndex is the index in simulation.configs of the newest adopted
	// configuration, or -1.
	configIndex int
	// heartbeats holds the latest heartbeat received from each other VM.
	heartbeats map[string]heartbeat
	lastCallID uint64
	// waitingCalls holds, by ID, the index in simulation.calls of each call
	// without a Decision.
	waitingCalls map[uint64]int
}

type heartbeat struct {
	// receivedAt is the true time at which the heartbeat was received, not a
	// node's local time.
	receivedAt time.Time
	member     gage.Member
}

func (n *node) Slots(shard int) []gage.ShareSlot { return n.snapshot.Slots[shard] }

func (n *node) HeldEpoch(shard, slot int, now time.Time) (uint64, bool) {
	if n.snapshot == nil {
		return 0, false
	}
	return n.snapshot.HeldEpoch(shard, slot, now)
}

// localTime returns the time on the process's clock.
func (n *node) localTime() time.Time {
	elapsed := n.sim.now.Sub(n.sim.start)
	return n.sim.now.Add(n.clockOffset + time.Duration(n.clockDrift*float64(elapsed)))
}

func (n *node) self() gage.Member {
	return gage.Member{VM: n.vm, Zone: n.zone, PeerAddress: n.vm, StartedAt: n.process.StartedAt, Phase: gage.MemberAlive}
}

// boot starts a new process with a random clock and without any state.
func (n *node) boot() {
	n.isRunning = true
	n.frozenUntil = time.Time{}
	n.process = gage.Process{VM: n.vm, StartedAt: n.sim.now.Sub(n.sim.start).Milliseconds() + 1}
	n.clockOffset = time.Duration(n.sim.random.Int64N(int64(time.Hour)))
	n.clockDrift = (n.sim.random.Float64()*2 - 1) * 0.0004
	n.snapshot = nil
	n.keeper = share.NewKeeper(n.localTime(), share.Settings{
		Self:         n.self(),
		TakeoverWait: n.sim.settings.takeoverWait,
		Jitter:       n.sim.random.Float64,
	})
	n.snapshot = n.keeper.Snapshot()
	n.issuer = quota.NewIssuer(n.process, n)
	n.requester = quota.NewRequester(n.self(), n)
	n.documents = make(map[string]gage.Document)
	n.configIndex = -1
	n.heartbeats = make(map[string]heartbeat)
	n.waitingCalls = make(map[uint64]int)
	process := n.process
	n.sim.schedule(time.Duration(n.sim.random.Int64N(int64(tickInterval))), func() { n.tick(process) })
	n.sim.schedule(time.Millisecond, func() { n.sendHeartbeats(process) })
	n.sim.oracle.recordConfigs(n.sim)
}

func (n *node) kill() {
	n.isRunning = false
	n.sim.oracle.recordConfigs(n.sim)
}

// runStep runs a step of the process and applies the step's effects. If the process
// is frozen, the step runs when the freeze ends. runStep does nothing if the process
// has ended. A new freeze may begin between the step and its effects.
func (n *node) runStep(process gage.Process, step func(now time.Time)) {
	if !n.isRunning || n.process != process {
		return
	}
	if n.sim.now.Before(n.frozenUntil) {
		n.sim.schedule(n.frozenUntil.Sub(n.sim.now), func() { n.runStep(process, step) })
		return
	}
	step(n.localTime())
	keeperEffects := n.keeper.Drain()
	requesterEffects := n.requester.Drain()
	if n.sim.chance(n.sim.settings.freezeChance) {
		n.frozenUntil = n.sim.now.Add(time.Duration(n.sim.random.Int64N(int64(8 * time.Second))))
		n.sim.schedule(n.frozenUntil.Sub(n.sim.now), func() { n.applyEffects(process, keeperEffects, requesterEffects) })
		return
	}
	n.applyEffects(process, keeperEffects, requesterEffects)
}

// runKeeperStep calls runStep with a step of the Keeper, and updates n.snapshot
// directly after the step.
func (n *node) runKeeperStep(process gage.Process, step func(now time.Time)) {
	n.runStep(process, func(now time.Time) {
		step(now)
		n.snapshot = n.keeper.Snapshot()
	})
}

func (n *node) applyEffects(process gage.Process, keeperEffects share.Effects, requesterEffects quota.Effects) {
	if !n.isRunning || n.process != process {
		return
	}
	for _, d := range keeperEffects.Offers {
		n.documents[d.Key] = d
	}
	for _, out := range keeperEffects.Requests {
		n.sim.sendConfirm(n, out)
	}
	if keeperEffects.StoreCall != nil {
		n.sim.callStore(n, *keeperEffects.StoreCall)
	}
	for _, out := range requesterEffects.Requests {
		n.sim.sendTake(n, out)
	}
	for _, decision := range requesterEffects.Decisions {
		n.handleDecision(process, decision)
	}
}

// handleDecision processes the decision about a call. It counts a refusal. A granted
// token is used after a random delay, unless it has expired by then.
func (n *node) handleDecision(process gage.Process, d quota.Decision) {
	index, ok := n.waitingCalls[d.ID]
	if !ok {
		n.sim.violations = append(n.sim.violations, "call decided twice")
		return
	}
	delete(n.waitingCalls, d.ID)
	if !d.Grant.OK {
		if d.Grant.Reason == gage.ReasonOverRate {
			n.sim.tally.overRate++
		} else {
			n.sim.tally.unavailable++
		}
		return
	}
	delay := time.Duration(n.sim.random.Int64N(int64(2 * time.Millisecond)))
	if n.sim.settings.slowChance > 0 {
		delay = time.Duration(n.sim.random.Int64N(int64(300 * time.Millisecond)))
	}
	n.sim.schedule(delay, func() {
		n.runStep(process, func(now time.Time) {
			if !now.Before(d.Grant.AdmitBy) {
				n.sim.tally.expired++
				return
			}
			n.sim.tally.granted++
			c := &n.sim.calls[index]
			c.isGranted = true
			n.sim.oracle.recordCall(c.workspace, n.sim.now)
		})
	})
}

// enterCall records a call that enters at this node and requests a token for
// it.
func (n *node) enterCall(workspace string) {
	n.sim.tally.calls++
	index := len(n.sim.calls)
	n.sim.calls = append(n.sim.calls, callRecord{enteredAt: n.sim.now, workspace: workspace, node: n.index})
	n.runStep(n.process, func(now time.Time) {
		n.lastCallID++
		n.waitingCalls[n.lastCallID] = index
		n.requester.Request(now, n.lastCallID, workspace)
	})
}

func (n *node) tick(process gage.Process) {
	if !n.isRunning || n.process != process {
		return
	}
	n.sim.schedule(tickInterval, func() { n.tick(process) })
	n.runKeeperStep(process, func(now time.Time) {
		n.keeper.Tick(now, n.members)
		n.snapshot = n.keeper.Snapshot()
		n.issuer.Tick(now)
		for _, out := range n.issuer.AdoptedRequests(now) {
			n.sim.sendAdopted(n, out)
		}
	})
	n.sim.checkExclusive()
}

func (n *node) handleStoreReply(now time.Time, call share.StoreCall, reply storeReply) {
	if call.IsList {
		n.keeper.HandleList(now, call, reply.entries, reply.err)
		return
	}
	n.keeper.HandleSwap(now, call, reply.entry, reply.err)
}

// members returns the members with the phases that the node's failure detector
// infers from heartbeats.
func (n *node) members() []gage.Member {
	members := []gage.Member{n.self()}
	for _, other := range n.sim.nodes {
		latest, ok := n.heartbeats[other.vm]
		if !ok {
			continue
		}
		m := latest.member
		if n.sim.now.Sub(latest.receivedAt) > deadTimeout {
			m.Phase = gage.MemberDead
		}
		members = append(members, m)
	}
	return members
}

// sendHeartbeats sends a heartbeat to each other node and schedules the next
// heartbeats. A heartbeat carries all known documents and the adopted configuration.
func (n *node) sendHeartbeats(process gage.Process) {
	if !n.isRunning || n.process != process {
		return
	}
	n.sim.schedule(heartbeatInterval, func() { n.sendHeartbeats(process) })
	if n.sim.now.Before(n.frozenUntil) {
		return
	}
	member := n.self()
	for _, other := range n.sim.nodes {
		if other == n || n.sim.linkCut[n.index][other.index] {
			continue
		}
		documents := make([]gage.Document, 0, len(n.documents))
		for shard := range gage.ShardCount {
			if d, ok := n.documents[share.Key(shard)]; ok && !n.sim.chance(n.sim.settings.gossipLossChance) {
				documents = append(documents, d)
			}
		}
		configIndex := n.configIndex
		if n.sim.chance(n.sim.settings.gossipLossChance) {
			configIndex = -1
		}
		n.sim.send(n.index, other.index, func() { other.handleHeartbeat(member, documents, configIndex) })
	}
}

func (n *node) handleHeartbeat(member gage.Member, documents []gage.Document, configIndex int) {
	n.runStep(n.process, func(now time.Time) {
		hasNewDocument := false
		if member.StartedAt >= n.heartbeats[member.VM].member.StartedAt {
			n.heartbeats[member.VM] = heartbeat{receivedAt: n.sim.now, member: member}
		}
		for _, d := range documents {
			if d.Revision > n.documents[d.Key].Revision {
				n.documents[d.Key] = d
				n.keeper.HandleDocument(now, d)
				hasNewDocument = true
			}
		}
		if hasNewDocument {
			n.snapshot = n.keeper.Snapshot()
		}
		n.adoptConfig(now, configIndex)
	})
}

// deliverConfig makes the node adopt an applied configuration after a random
// delay. It has no effect if the link from the node to the store is cut at the end
// of the delay.
func (n *node) deliverConfig(configIndex int) {
	process := n.process
	n.sim.schedule(time.Duration(n.sim.random.Int64N(int64(n.sim.settings.maxConfigDelay))), func() {
		if !n.sim.linkCut[n.index][len(n.sim.nodes)] {
			n.runStep(process, func(now time.Time) { n.adoptConfig(now, configIndex) })
		}
	})
}

func (n *node) adoptConfig(now time.Time, configIndex int) {
	if configIndex <= n.configIndex {
		return
	}
	n.configIndex = configIndex
	n.issuer.Adopt(now, n.sim.configs[configIndex])
	n.requester.Adopt(n.sim.configs[configIndex])
	n.sim.oracle.recordConfigs(n.sim)
}
