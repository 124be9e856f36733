package gossip

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// probe is a probe that was not answered yet.
type probe struct {
	VM       string
	Seq      uint64
	SentAt   time.Time
	Indirect bool
}

// relay is a ping sent for another node.
type relay struct {
	Seq     uint64
	Address string
	SentAt  time.Time
}

// The bounds of probing.
const (
	indirectProbes = 3
	maxRelays      = 256
	// maxAsked bounds the suspects asked in one probe period.
	maxAsked = 4
)

func (c *Core) probeTick(now time.Time) {
	c.followProbes(now)
	if now.Before(c.probeAt) {
		return
	}
	c.probeAt = now.Add(c.timing.Probe)
	c.expire(now)
	c.askSuspects(now)
	c.dropRelays(now)
	if e, ok := c.nextProbed(); ok {
		c.seq++
		c.Stats.Probes++
		c.probes = append(c.probes, probe{VM: e.Member.VM, Seq: c.seq, SentAt: now})
		c.ping(now, e, Message{Seq: c.seq})
	}
}

// followProbes asks others about nodes that do not answer, and suspects those
// that have not answered in time by any way.
func (c *Core) followProbes(now time.Time) {
	kept := c.probes[:0]
	for _, p := range c.probes {
		age := now.Sub(p.SentAt)
		if age >= c.timing.Answer {
			c.suspect(now, p.VM)
			continue
		}
		if age >= c.timing.Direct && !p.Indirect {
			p.Indirect = true
			c.probeIndirectly(now, p)
		}
		kept = append(kept, p)
	}
	c.probes = kept
}

func (c *Core) suspect(now time.Time, vm string) {
	if c.Table.Mark(now, vm, gage.MemberSuspect) {
		c.Stats.Suspicions++
		c.queue.push(vm, false)
	}
}

// ping sends m as a ping. A node that is not held for alive is told so, that
// it can refute.
func (c *Core) ping(now time.Time, e member.Entry, m Message) {
	m.Kind = KindPing
	m.Records = append(c.ownRecord(), c.piggyback(now, e.Member.VM)...)
	if e.Member.Phase != gage.MemberAlive {
		m.Records = append(m.Records, e.Record(false))
	}
	c.send(e.Member.PeerAddress, m)
}

// probeIndirectly asks others to probe and pings once more by a connection, so
// that neither a broken path nor lost datagrams make a suspect.
func (c *Core) probeIndirectly(now time.Time, p probe) {
	e, ok := c.Table.Get(p.VM)
	if !ok || e.Gone() {
		return
	}
	c.ping(now, e, Message{Seq: p.Seq, Reliable: true})
	for range indirectProbes {
		helper, ok := c.anyPeer()
		if !ok || helper.Member.VM == e.Member.VM {
			continue
		}
		c.send(helper.Member.PeerAddress, Message{
			Kind: KindPingRequest, Seq: p.Seq,
			Subject: e.Member.VM, SubjectAddress: e.Member.PeerAddress,
		})
	}
}

func (c *Core) receivePing(now time.Time, m Message) {
	reply := Message{Kind: KindAck, Seq: m.Seq, Reliable: m.Reliable}
	reply.Records = append(c.ownRecord(), c.piggyback(now, m.From)...)
	if e, ok := c.Table.Get(m.From); ok && e.Member.Phase != gage.MemberAlive {
		reply.Records = append(reply.Records, e.Record(false))
	}
	c.send(m.FromAddress, reply)
}

func (c *Core) receivePingRequest(now time.Time, m Message) {
	if m.SubjectAddress == "" || len(c.relays) >= maxRelays {
		return
	}
	c.seq++
	c.relays[c.seq] = relay{Seq: m.Seq, Address: m.FromAddress, SentAt: now}
	c.send(m.SubjectAddress, Message{Kind: KindPing, Seq: c.seq, Records: c.ownRecord()})
}

func (c *Core) receiveAck(now time.Time, m Message) {
	if r, ok := c.relays[m.Seq]; ok {
		delete(c.relays, m.Seq)
		c.send(r.Address, Message{Kind: KindAck, Seq: r.Seq, Records: c.piggyback(now, "")})
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool { return p.Seq == m.Seq })
}

func (c *Core) dropRelays(now time.Time) {
	for seq, r := range c.relays {
		if now.Sub(r.SentAt) > c.timing.Answer {
			delete(c.relays, seq)
		}
	}
}

// askSuspects pings suspects in the second half of their time: news that one
// has refuted may have missed this node. A few a period are asked, so that a
// lost zone does not cost much.
func (c *Core) askSuspects(now time.Time) {
	suspects := c.Table.Suspects(now.Add(-c.suspicion() / 2))
	c.rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	for _, e := range suspects[:min(len(suspects), maxAsked)] {
		c.seq++
		c.ping(now, e, Message{Seq: c.seq})
	}
}

// expire declares suspects dead whose time to refute is over.
func (c *Core) expire(now time.Time) {
	for _, e := range c.Table.Suspects(now.Add(-c.suspicion())) {
		if c.Table.Mark(now, e.Member.VM, gage.MemberDead) {
			c.Stats.Deaths++
			c.queue.push(e.Member.VM, false)
		}
	}
}

// reviveTick pings a node held for dead, so that a parted region is found
// again, and forgets those gone for long.
func (c *Core) reviveTick(now time.Time) {
	if now.Before(c.reviveAt) {
		return
	}
	c.reviveAt = now.Add(c.jitter(c.timing.Revive))
	c.meet()
	for _, e := range c.Table.Gone(now.Add(-c.timing.Remember)) {
		c.Table.Remove(e.Member.VM)
	}
	var dead []member.Entry
	for _, e := range c.Table.Gone(now) {
		if e.Member.Phase == gage.MemberDead {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		c.seq++
		c.ping(now, dead[c.rand.IntN(len(dead))], Message{Seq: c.seq})
	}
}
