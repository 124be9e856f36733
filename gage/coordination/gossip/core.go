package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// Core implements the gossip protocol: it maintains the membership table and
// decides which messages to send. It does no input or output, takes the present
// time as an argument, and is not safe for concurrent use.
type Core struct {
	Table *member.Table
	// Superseded means that a later process uses this node's VM name.
	Superseded bool
	// Stats counts events since NewCore.
	Stats Stats

	timing     Timing
	rand       *rand.Rand
	roundRobin roundRobin
	// probes are the unanswered probes. Each is removed when it is
	// answered, or ProbeTimeout after it was sent.
	probes []probe
	// relays holds, by the sequence number of the relayed ping, at most
	// maxRelays pings sent for other nodes.
	relays       map[uint64]relay
	queue        updateQueue
	updateBudget byteBudget
	// contacts are peer addresses to join through, at most maxContacts.
	contacts []string
	// lastSeq is the sequence number of the last ping.
	lastSeq uint64
	// firstFullSyncAt is when the first comparison of the whole table with that of
	// a peer was completed, or zero if none was.
	firstFullSyncAt time.Time

	// lastEventAt is the latest time passed to beginEvent.
	lastEventAt     time.Time
	nextJoinAt      time.Time
	nextProbeAt     time.Time
	nextSpreadAt    time.Time
	nextSyncAt      time.Time
	nextReconnectAt time.Time

	// outgoing holds the messages of the present event.
	outgoing []Envelope
}

// Stats counts events of a Core.
type Stats struct {
	Probes     uint64
	Suspicions uint64
	Deaths     uint64
	// Refutations counts how often this node raised its incarnation to refute
	// a false or outdated record about itself.
	Refutations uint64
	// Thaws counts how often this node resumed after it was frozen, that is,
	// not scheduled for a long time.
	Thaws uint64
	// Syncs counts the periodic table comparisons that this node began.
	Syncs uint64
	// RecordsReceived counts the received records. NewRecordsReceived counts
	// those of them that changed the table and are therefore relayed by gossip.
	RecordsReceived    uint64
	NewRecordsReceived uint64
	// TableFull counts the records that were ignored because the table was
	// full.
	TableFull uint64
	// BadMessages counts the received messages that were invalid.
	BadMessages uint64
}

const (
	// If at least freezeTicks tick intervals pass between two successive events,
	// this node infers that it was frozen.
	freezeTicks = 10
	// The suspicion timeout is suspicionFactor probe intervals times the decimal
	// logarithm of the number of live nodes. The logarithm counts as 1 if it is
	// lower.
	suspicionFactor = 4
	// A node relays the configuration generations of other nodes by gossip if
	// there are at most maxNodesForGenerationRelay live nodes. In larger fleets
	// each node sends only its own generation.
	maxNodesForGenerationRelay = 64
	// For joinGracePeriod after its first comparison of the whole table, a process
	// still refutes records of its own VM that have a later start time.
	// Such a record may belong to an earlier process whose clock was ahead, and
	// it may arrive late.
	joinGracePeriod = 5 * time.Second
	// leavePeers is the number of peers that a leaving node notifies directly.
	leavePeers = 8
)

// NewCore returns a core whose table holds only self. The seeds are peer
// addresses to join through. Zero fields of timing have defaults.
func NewCore(now time.Time, self gage.Member, seeds []string, timing Timing, random *rand.Rand) *Core {
	timing = timing.withDefaults()
	c := &Core{
		Table:        member.New(now, self),
		timing:       timing,
		rand:         random,
		roundRobin:   make(roundRobin),
		relays:       make(map[uint64]relay),
		queue:        newUpdateQueue(),
		updateBudget: newByteBudget(now),
		lastEventAt:  now,
		nextJoinAt:   now,
		nextSpreadAt: now,
	}
	c.nextProbeAt = now.Add(c.jitter(timing.ProbeInterval))
	c.nextSyncAt = now.Add(c.jitter(timing.SyncInterval))
	c.nextReconnectAt = now.Add(c.jitter(timing.ReconnectInterval))
	c.AddContacts(seeds)
	return c
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rand.Int64N(int64(d)+1))
}

// Tick runs the timers that are due and returns the messages to send. The slice
// is valid until the next call of a method.
func (c *Core) Tick(now time.Time) []Envelope {
	c.beginEvent(now)
	if c.Table.Self().Phase == gage.MemberLeft {
		return nil
	}
	c.join(now)
	c.probeTick(now)
	c.reconnectTick(now)
	c.syncTick(now)
	c.spread(now)
	return c.outgoing
}

// Receive processes a message and returns the messages to send. The slice is
// valid until the next call of a method.
func (c *Core) Receive(now time.Time, m Message) []Envelope {
	c.beginEvent(now)
	if m.From == "" || m.From == c.Table.Self().VM || len(m.Records) > MaxRecordsPerMessage {
		c.Stats.BadMessages++
		return nil
	}
	ignoredUnknown := c.merge(now, m.Records)
	c.answerOutdatedSender(m)
	c.dispatch(now, m)
	if ignoredUnknown && m.Kind != KindDigest {
		c.sendDigest(m.FromAddress)
	}
	return c.outgoing
}

// dispatch processes a message according to its kind, after its records have
// been merged.
func (c *Core) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case KindPing:
		c.receivePing(now, m)
	case KindAck:
		c.receiveAck(now, m)
	case KindPingRequest:
		c.receivePingRequest(now, m)
	case KindDigest:
		c.receiveDigest(m)
	case KindEntries:
		c.receiveEntries(now, m)
	case KindWant:
		c.receiveWant(m)
	case KindUpdate:
	default:
		c.Stats.BadMessages++
	}
}

// beginEvent discards the messages of the previous event and detects that this
// node was frozen since then. After a freeze it extends all suspicions and
// discards the pending probes, because the node could not receive answers
// while it was frozen.
func (c *Core) beginEvent(now time.Time) {
	c.outgoing = c.outgoing[:0]
	gap := now.Sub(c.lastEventAt)
	if gap <= 0 {
		return
	}
	c.lastEventAt = now
	if !c.firstFullSyncAt.IsZero() && now.Sub(c.firstFullSyncAt) >= joinGracePeriod {
		c.Table.Joined = true
	}
	if gap < freezeTicks*c.timing.TickInterval {
		return
	}
	c.Stats.Thaws++
	c.Table.ExtendSuspicions(gap)
	c.probes = c.probes[:0]
	clear(c.relays)
	c.nextProbeAt = now.Add(c.jitter(c.timing.ProbeInterval))
}

// merge merges records into the table. It reports whether a record was ignored
// because its process is unknown.
func (c *Core) merge(now time.Time, records []member.Record) bool {
	ignoredUnknown := false
	selfBefore := c.Table.Self()
	for _, r := range records {
		c.Stats.RecordsReceived++
		verdict := c.Table.Merge(now, r)
		if verdict.Changed() {
			c.Stats.NewRecordsReceived++
			c.queue.push(r.Member.VM, !r.Brief)
		}
		switch verdict {
		case member.VerdictGeneration:
			c.relayGeneration(r.Member.VM)
		case member.VerdictUnknown:
			ignoredUnknown = true
		case member.VerdictRefuted:
			c.Stats.Refutations++
		case member.VerdictSuperseded:
			c.Superseded = true
		case member.VerdictFull:
			c.Stats.TableFull++
		}
	}
	selfAfter := c.Table.Self()
	invar.Check(selfAfter.Incarnation >= selfBefore.Incarnation, "OwnIncarnationNeverFalls",
		"Before", selfBefore.Incarnation, "After", selfAfter.Incarnation)
	return ignoredUnknown
}

// relayGeneration relays the configuration generation of another node by gossip,
// unless there are more than maxNodesForGenerationRelay live nodes.
func (c *Core) relayGeneration(vm string) {
	if c.Table.LiveCount() <= maxNodesForGenerationRelay {
		c.queue.push(vm, false)
	}
}

// answerOutdatedSender compares the sender's own record with the one in the table.
// If the record in the table has a later start time, answerOutdatedSender sends it
// to the sender, which then either finds that it is superseded or raises its own
// start time.
func (c *Core) answerOutdatedSender(m Message) {
	for _, r := range m.Records {
		if r.Member.VM != m.From {
			continue
		}
		if e, ok := c.Table.Get(m.From); ok && e.Member.StartedAt > r.Member.StartedAt {
			c.send(m.FromAddress, Message{Kind: KindUpdate, Records: []member.Record{e.Record(true)}})
			return
		}
	}
}

// SetTargets replaces the node's own targets and returns messages that notify
// some peers at once.
func (c *Core) SetTargets(now time.Time, targets []gage.TargetRecord) []Envelope {
	c.beginEvent(now)
	c.Table.SetTargets(now, targets)
	c.queue.push(c.Table.Self().VM, true)
	c.spreadTo(now, peersPerOwnChange)
	return c.outgoing
}

// SetGeneration raises the node's own configuration generation.
func (c *Core) SetGeneration(now time.Time, generation int64) {
	c.Table.SetGeneration(now, generation)
	c.queue.push(c.Table.Self().VM, false)
}

// Leave marks this node as left and returns messages that notify some peers.
// Tick sends nothing afterwards.
func (c *Core) Leave(now time.Time) []Envelope {
	c.beginEvent(now)
	c.Table.Leave(now)
	for range leavePeers {
		if peer, ok := c.randomPeer(); ok {
			c.send(peer.Member.PeerAddress, Message{Kind: KindUpdate, Records: c.ownRecord()})
		}
	}
	return c.outgoing
}

// ownRecord returns the node's own brief record.
func (c *Core) ownRecord() []member.Record {
	e, _ := c.Table.Get(c.Table.Self().VM)
	return []member.Record{e.Record(false)}
}

// send adds a message to those of the present event. It does nothing when
// address is empty.
func (c *Core) send(address string, m Message) {
	if address == "" {
		return
	}
	self := c.Table.Self()
	m.From, m.FromAddress = self.VM, self.PeerAddress
	c.outgoing = append(c.outgoing, Envelope{Address: address, Message: m})
}

// suspicionTimeout returns how long a suspect has to refute the suspicion before
// it is declared dead. The timeout grows with the logarithm of the number of
// nodes, as does the time that the suspicion takes to reach the suspect and that
// the refutation takes to come back.
func (c *Core) suspicionTimeout() time.Duration {
	logSize := math.Max(1, math.Log10(float64(c.Table.LiveCount())))
	return time.Duration(suspicionFactor * logSize * float64(c.timing.ProbeInterval))
}
