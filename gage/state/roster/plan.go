package roster

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// RelaysPerZone is the number of nodes in a zone that exchange states with
// other zones.
const RelaysPerZone = 2

const (
	// A relay sends each state in full when it has changed, fullCopies times in case a
	// datagram is lost, and then every fullInterval. In between it sends the load only.
	fullCopies   = 2
	fullInterval = 2 * time.Second
)

// sentState is a state that a relay has sent in full.
type sentState struct {
	fingerprint uint32
	copies      int
	at          time.Time
}

// BroadcastPlan lists the addresses to which a node sends states, and the
// states of others that it passes on as a relay.
type BroadcastPlan struct {
	// SameZone lists the responsive nodes in the node's own zone. Unresponsive lists
	// the unresponsive nodes in all zones.
	SameZone, Unresponsive []string
	// Relays lists one relay of each other zone. It is empty if the node itself is no
	// relay. The relays of a zone choose different ones.
	Relays []string
	// OwnZone holds the states and the summary of the node's own zone, to be sent to
	// the relays of the other zones. OtherZones holds those of the other zones, to be
	// sent to the nodes of its own zone. Both are empty if the node is no relay.
	OwnZone, OtherZones gage.Packet
}

// BroadcastPlan returns the addresses and the states for the regular broadcast of a round
// at now. The two relays of a zone take turns: in every other round, a relay sends only
// the states that it sends in full.
func (r *Roster) BroadcastPlan(now time.Time, round int) BroadcastPlan {
	return r.plan(now, round, true)
}

// NewsPlan returns the addresses and the states for a broadcast between two rounds. It has
// no loads, and no states of other zones, which are most of the traffic in a large fleet.
func (r *Roster) NewsPlan(now time.Time) BroadcastPlan {
	return r.plan(now, 0, false)
}

func (r *Roster) plan(now time.Time, round int, isRegular bool) BroadcastPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var plan BroadcastPlan
	peersByZone := make(map[string][]*Peer)
	for _, p := range r.peers {
		switch {
		case p.VM == r.self:
			peersByZone[r.zone] = append(peersByZone[r.zone], p)
		case !p.Alive(now):
			plan.Unresponsive = append(plan.Unresponsive, p.Address)
		default:
			peersByZone[p.Zone] = append(peersByZone[p.Zone], p)
			if p.Zone == r.zone {
				plan.SameZone = append(plan.SameZone, p.Address)
			}
		}
	}
	for _, list := range peersByZone {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	rank := r.relayRank(peersByZone[r.zone])
	if rank < 0 {
		return plan
	}
	summary := gage.ZoneSummary{Zone: r.zone, Downstream: make(map[string][]string)}
	for zone, list := range peersByZone {
		if zone != r.zone {
			plan.Relays = append(plan.Relays, list[min(rank, len(list)-1)].Address)
		}
		for _, p := range list {
			if zone == r.zone {
				mergeDependencies(summary.Downstream, p.Downstream)
				r.addState(now, &plan.OwnZone, r.sentOwnZone, p)
			} else if isRegular {
				r.addState(now, &plan.OtherZones, r.sentOtherZones, p)
			}
		}
	}
	if !isRegular || round%RelaysPerZone != rank {
		plan.OwnZone.Loads, plan.OtherZones.Loads = nil, nil
	}
	plan.OwnZone.Zones = []gage.ZoneSummary{summary}
	if !isRegular {
		return plan
	}
	for _, z := range r.zones {
		other := z.ZoneSummary
		other.Age = now.Sub(z.UpdatedAt)
		plan.OtherZones.Zones = append(plan.OtherZones.Zones, other)
	}
	return plan
}

// Introduction returns the states of the responsive nodes in this node's own zone, for a
// node of the zone that has just been heard: it may have found only some of them in the
// store. It is empty if this node is no relay.
func (r *Roster) Introduction(now time.Time, vm string) gage.Packet {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zone []*Peer
	for _, p := range r.ordered {
		if p.Zone == r.zone && (p.VM == r.self || p.Alive(now)) {
			zone = append(zone, p)
		}
	}
	var packet gage.Packet
	if r.relayRank(zone) < 0 {
		return packet
	}
	for _, p := range zone {
		if p.VM == r.self || p.VM == vm {
			continue
		}
		s := p.NodeState
		s.Age, s.Downstream = now.Sub(p.UpdatedAt), nil
		packet.States = append(packet.States, s)
	}
	return packet
}

// addState adds the state of a peer to a packet, in full or only its load. The state of
// this node itself is always added in full, since it tells the other zones which
// documents are current.
func (r *Roster) addState(now time.Time, packet *gage.Packet, sent map[string]sentState, p *Peer) {
	last := sent[p.VM]
	if last.fingerprint != p.fingerprint {
		last = sentState{fingerprint: p.fingerprint}
	}
	age := now.Sub(p.UpdatedAt)
	if p.VM != r.self && last.copies >= fullCopies && now.Sub(last.at) < fullInterval {
		packet.Loads = append(packet.Loads, gage.LoadUpdate{
			Fingerprint: p.fingerprint, Sequence: p.Sequence, Age: age,
			InFlight: p.Target.InFlight, Queued: p.Target.Queued, Pressure: p.Target.Pressure,
		})
		return
	}
	s := p.NodeState
	s.Age, s.Downstream = age, nil
	packet.States = append(packet.States, s)
	last.copies, last.at = last.copies+1, now
	sent[p.VM] = last
}

// relayRank returns the index of this node among the relays of its zone, given the
// responsive nodes in the zone sorted by VM. It is -1 if this node is no relay.
func (r *Roster) relayRank(zone []*Peer) int {
	for i := 0; i < min(RelaysPerZone, len(zone)); i++ {
		if zone[i].VM == r.self {
			return i
		}
	}
	return -1
}
