package gossip

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// probe is a sent ping that has not been answered.
type probe struct {
	VM     string
	Seq    uint64
	SentAt time.Time
	// IndirectSent means that indirect probes have been requested.
	IndirectSent bool
}

// relay is a ping sent on behalf of another node, the requester.
type relay struct {
	// RequesterSeq is the Seq of the PingRequest. The Ack to the requester has the
	// same Seq.
	RequesterSeq     uint64
	RequesterAddress string
	SentAt           time.Time
}

// The limits of probing.
const (
	// indirectProbes is the number of nodes that are asked to probe an
	// unresponsive node.
	indirectProbes = 3
	maxRelays      = 256
	// maxSuspectPings is the maximum number of suspects pinged in one probe
	// interval.
	maxSuspectPings = 4
)

// probeTick checks the pending probes and, once in a probe interval, sends the
// next probe, pings suspects and declares suspects dead.
func (c *Core) probeTick(now time.Time) {
	c.checkProbes(now)
	if now.Before(c.nextProbeAt) {
		return
	}
	c.nextProbeAt = now.Add(c.timing.ProbeInterval)
	c.expireSuspicions(now)
	c.pingSuspects(now)
	c.expireRelays(now)
	if e, ok := c.nextToProbe(); ok {
		c.lastSeq++
		c.Stats.Probes++
		c.probes = append(c.probes, probe{VM: e.Member.VM, Seq: c.lastSeq, SentAt: now})
		c.ping(now, e, Message{Seq: c.lastSeq})
	}
}

// checkProbes requests indirect probes of nodes that have not answered within
// DirectProbeTimeout. It marks nodes that have not answered within ProbeTimeout as
// suspect.
func (c *Core) checkProbes(now time.Time) {
	pending := c.probes[:0]
	for _, p := range c.probes {
		age := now.Sub(p.SentAt)
		if age >= c.timing.ProbeTimeout {
			c.suspect(now, p.VM)
			continue
		}
		if age >= c.timing.DirectProbeTimeout && !p.IndirectSent {
			p.IndirectSent = true
			c.probeIndirectly(now, p)
		}
		pending = append(pending, p)
	}
	c.probes = pending
}

// suspect marks an alive node as suspect and gossips its new record.
func (c *Core) suspect(now time.Time, vm string) {
	if c.Table.Mark(now, vm, gage.MemberSuspect) {
		c.Stats.Suspicions++
		c.queue.push(vm, false)
	}
}

// ping sends m as a ping. If this node does not consider the receiver alive, the
// ping carries the receiver's record, so that the receiver can refute it.
func (c *Core) ping(now time.Time, e member.Entry, m Message) {
	m.Kind = KindPing
	m.Records = append(c.ownRecord(), c.piggyback(now, e.Member.VM)...)
	if e.Member.Phase != gage.MemberAlive {
		m.Records = append(m.Records, e.Record(false))
	}
	c.send(e.Member.PeerAddress, m)
}

// probeIndirectly requests probes by other nodes and repeats the ping over a
// connection, so that neither a broken path nor lost datagrams alone lead to a
// suspicion.
func (c *Core) probeIndirectly(now time.Time, p probe) {
	e, ok := c.Table.Get(p.VM)
	if !ok || e.Gone() {
		return
	}
	c.ping(now, e, Message{Seq: p.Seq, Reliable: true})
	for range indirectProbes {
		relayPeer, ok := c.randomPeer()
		if !ok || relayPeer.Member.VM == e.Member.VM {
			continue
		}
		c.send(relayPeer.Member.PeerAddress, Message{
			Kind: KindPingRequest, Seq: p.Seq,
			Subject: e.Member.VM, SubjectAddress: e.Member.PeerAddress,
		})
	}
}

// receivePing sends an Ack. If this node does not consider the sender alive, the
// Ack carries the sender's record, so that the sender can refute it.
func (c *Core) receivePing(now time.Time, m Message) {
	reply := Message{Kind: KindAck, Seq: m.Seq, Reliable: m.Reliable}
	reply.Records = append(c.ownRecord(), c.piggyback(now, m.From)...)
	if e, ok := c.Table.Get(m.From); ok && e.Member.Phase != gage.MemberAlive {
		reply.Records = append(reply.Records, e.Record(false))
	}
	c.send(m.FromAddress, reply)
}

// receivePingRequest pings the subject on behalf of the sender. It ignores the
// request when there are maxRelays pending relays.
func (c *Core) receivePingRequest(now time.Time, m Message) {
	if m.SubjectAddress == "" || len(c.relays) >= maxRelays {
		return
	}
	c.lastSeq++
	c.relays[c.lastSeq] = relay{RequesterSeq: m.Seq, RequesterAddress: m.FromAddress, SentAt: now}
	c.send(m.SubjectAddress, Message{Kind: KindPing, Seq: c.lastSeq, Records: c.ownRecord()})
}

// receiveAck processes an Ack. If it answers a relayed ping, receiveAck sends an
// Ack to the requester. Otherwise it removes the answered probe.
func (c *Core) receiveAck(now time.Time, m Message) {
	if r, ok := c.relays[m.Seq]; ok {
		delete(c.relays, m.Seq)
		c.send(r.RequesterAddress, Message{Kind: KindAck, Seq: r.RequesterSeq, Records: c.piggyback(now, "")})
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool { return p.Seq == m.Seq })
}

// expireRelays removes the relays that have not been answered within
// ProbeTimeout.
func (c *Core) expireRelays(now time.Time) {
	for seq, r := range c.relays {
		if now.Sub(r.SentAt) > c.timing.ProbeTimeout {
			delete(c.relays, seq)
		}
	}
}

// pingSuspects pings random suspects in the second half of their suspicion
// timeout, because a refutation may not have reached this node. The number of
// pings is limited, so that the failure of a whole zone does not cause a burst.
func (c *Core) pingSuspects(now time.Time) {
	suspects := c.Table.Suspects(now.Add(-c.suspicionTimeout() / 2))
	c.rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	for _, e := range suspects[:min(len(suspects), maxSuspectPings)] {
		c.lastSeq++
		c.ping(now, e, Message{Seq: c.lastSeq})
	}
}

// expireSuspicions declares those suspects dead that have not refuted the
// suspicion within the suspicion timeout.
func (c *Core) expireSuspicions(now time.Time) {
	for _, e := range c.Table.Suspects(now.Add(-c.suspicionTimeout())) {
		if c.Table.Mark(now, e.Member.VM, gage.MemberDead) {
			c.Stats.Deaths++
			c.queue.push(e.Member.VM, false)
		}
	}
}

// reconnectTick pings a random dead node and joins through a contact that is
// not known as live, so that a region that was partitioned off is found again.
// It also removes nodes that have been dead or left for GoneRetention.
func (c *Core) reconnectTick(now time.Time) {
	if now.Before(c.nextReconnectAt) {
		return
	}
	c.nextReconnectAt = now.Add(c.jitter(c.timing.ReconnectInterval))
	c.joinUnknownContact()
	for _, e := range c.Table.Gone(now.Add(-c.timing.GoneRetention)) {
		c.Table.Remove(e.Member.VM)
	}
	var dead []member.Entry
	for _, e := range c.Table.Gone(now) {
		if e.Member.Phase == gage.MemberDead {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		c.lastSeq++
		c.ping(now, dead[c.rand.IntN(len(dead))], Message{Seq: c.lastSeq})
	}
}
