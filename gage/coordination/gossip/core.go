package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// Core decides what to send and what to hold of other nodes. It keeps no
// clock, sends nothing by itself and belongs to one goroutine.
type Core struct {
	Table *member.Table
	// Superseded tells that a later process bears this node's VM name.
	Superseded bool
	// Stats count what happened since the start.
	Stats Stats

	timing Timing
	rand   *rand.Rand
	rounds rounds
	// probes were sent less than Timing.Answer ago.
	probes []probe
	relays map[uint64]relay
	queue  queue
	budget budget
	// contacts are peer addresses to join through, at most maxContacts.
	contacts []string
	seq      uint64
	// comparedAt is when the table was first compared in full, or zero.
	comparedAt time.Time

	lastAt   time.Time
	joinAt   time.Time
	probeAt  time.Time
	spreadAt time.Time
	syncAt   time.Time
	reviveAt time.Time

	out []Send
}

// Stats are counts of events.
type Stats struct {
	Probes     uint64
	Suspicions uint64
	Deaths     uint64
	// Refuted counts how often this node raised its incarnation.
	Refuted uint64
	// Thaws counts how often this node was frozen.
	Thaws uint64
	Syncs uint64
	// Records counts the received records, NewRecords those of them that
	// changed the table.
	Records    uint64
	NewRecords uint64
	TableFull  uint64
	BadMessage uint64
}

const (
	// thawTicks is how late an event may come after the one before until this
	// node takes itself for frozen in between.
	thawTicks = 10
	// suspicionFactor is the time to refute for each tenfold of the fleet, in
	// probe periods.
	suspicionFactor = 4
	// generationFleet is the largest fleet in which each node's configuration
	// generation is passed on by others. In larger ones it travels with the
	// node's own messages only.
	generationFleet = 64
	// settleAfter is how long after its first full comparison a process still
	// outbids records of an earlier one: they may come late.
	settleAfter = 5 * time.Second
	// leavePeers is how many peers a leaving node tells itself.
	leavePeers = 8
)

// NewCore returns a core that knows only itself.
func NewCore(now time.Time, self gage.Member, seeds []string, timing Timing, random *rand.Rand) *Core {
	timing = timing.withDefaults()
	c := &Core{
		Table:    member.New(now, self),
		timing:   timing,
		rand:     random,
		rounds:   make(rounds),
		relays:   make(map[uint64]relay),
		queue:    newQueue(),
		budget:   newBudget(now),
		lastAt:   now,
		joinAt:   now,
		spreadAt: now,
	}
	c.probeAt = now.Add(c.jitter(timing.Probe))
	c.syncAt = now.Add(c.jitter(timing.Sync))
	c.reviveAt = now.Add(c.jitter(timing.Revive))
	c.AddContacts(seeds)
	return c
}

// jitter returns a duration between half of d and one and a half of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rand.Int64N(int64(d)+1))
}

// Tick does what has fallen due and returns what is to be sent. The slice is
// valid until the next call.
func (c *Core) Tick(now time.Time) []Send {
	c.begin(now)
	if c.Table.Self().Phase == gage.MemberLeft {
		return nil
	}
	c.join(now)
	c.probeTick(now)
	c.reviveTick(now)
	c.syncTick(now)
	c.spread(now)
	return c.out
}

// Receive takes a message in and returns what is to be sent. The slice is
// valid until the next call.
func (c *Core) Receive(now time.Time, m Message) []Send {
	c.begin(now)
	if m.From == "" || m.From == c.Table.Self().VM || len(m.Records) > MaxRecordsPerMessage {
		c.Stats.BadMessage++
		return nil
	}
	unknown := c.merge(now, m.Records)
	c.answerOutdated(m)
	c.handle(now, m)
	if unknown && m.Kind != KindDigest {
		c.sendDigest(m.FromAddress)
	}
	return c.out
}

func (c *Core) handle(now time.Time, m Message) {
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
		c.Stats.BadMessage++
	}
}

// begin restarts suspicions after a freeze: while this node could not hear
// anybody, silence is no evidence.
func (c *Core) begin(now time.Time) {
	c.out = c.out[:0]
	gap := now.Sub(c.lastAt)
	if gap <= 0 {
		return
	}
	c.lastAt = now
	if !c.comparedAt.IsZero() && now.Sub(c.comparedAt) >= settleAfter {
		c.Table.Joined = true
	}
	if gap < thawTicks*c.timing.Tick {
		return
	}
	c.Stats.Thaws++
	c.Table.ExtendSuspicions(gap)
	c.probes = c.probes[:0]
	clear(c.relays)
	c.probeAt = now.Add(c.jitter(c.timing.Probe))
}

// merge takes records in and tells whether one named an unknown process.
func (c *Core) merge(now time.Time, records []member.Record) bool {
	unknown := false
	before := c.Table.Self()
	for _, r := range records {
		c.Stats.Records++
		verdict := c.Table.Merge(now, r)
		if verdict.Changed() {
			c.Stats.NewRecords++
			c.queue.push(r.Member.VM, !r.Brief)
		}
		switch verdict {
		case member.VerdictGeneration:
			c.passGeneration(r.Member.VM)
		case member.VerdictUnknown:
			unknown = true
		case member.VerdictRefuted:
			c.Stats.Refuted++
		case member.VerdictSuperseded:
			c.Superseded = true
		case member.VerdictFull:
			c.Stats.TableFull++
		}
	}
	after := c.Table.Self()
	invar.Check(after.Incarnation >= before.Incarnation, "OwnIncarnationNeverFalls",
		"Before", before.Incarnation, "After", after.Incarnation)
	return unknown
}

func (c *Core) passGeneration(vm string) {
	if c.Table.LiveCount() <= generationFleet {
		c.queue.push(vm, false)
	}
}

// answerOutdated tells a sender that names itself by an earlier process than
// the one known here.
func (c *Core) answerOutdated(m Message) {
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

// SetTargets changes the node's own targets and tells some peers at once.
func (c *Core) SetTargets(now time.Time, targets []gage.TargetRecord) []Send {
	c.begin(now)
	c.Table.SetTargets(now, targets)
	c.queue.push(c.Table.Self().VM, true)
	c.spreadTo(now, urgentPeers)
	return c.out
}

// SetGeneration changes the node's own configuration generation.
func (c *Core) SetGeneration(now time.Time, generation int64) {
	c.Table.SetGeneration(now, generation)
	c.queue.push(c.Table.Self().VM, false)
}

// Leave marks this node as left and tells some peers.
func (c *Core) Leave(now time.Time) []Send {
	c.begin(now)
	c.Table.Leave(now)
	for range leavePeers {
		if peer, ok := c.anyPeer(); ok {
			c.send(peer.Member.PeerAddress, Message{Kind: KindUpdate, Records: c.ownRecord()})
		}
	}
	return c.out
}

// ownRecord returns the node's own brief record.
func (c *Core) ownRecord() []member.Record {
	e, _ := c.Table.Get(c.Table.Self().VM)
	return []member.Record{e.Record(false)}
}

func (c *Core) send(address string, m Message) {
	if address == "" {
		return
	}
	self := c.Table.Self()
	m.From, m.FromAddress = self.VM, self.PeerAddress
	c.out = append(c.out, Send{Address: address, Message: m})
}

// suspicion is how long a suspect has to refute: long enough for the
// suspicion to reach it and for the refutation to come back.
func (c *Core) suspicion() time.Duration {
	size := math.Max(1, math.Log10(float64(c.Table.LiveCount())))
	return time.Duration(suspicionFactor * size * float64(c.timing.Probe))
}
