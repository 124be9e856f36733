package roster

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// RelaysPerZone is the number of nodes in a zone that exchange states with
// other zones.
const RelaysPerZone = 2

// BroadcastPlan lists the addresses to which a node sends states, and the
// states of others that it passes on as a relay.
type BroadcastPlan struct {
	// SameZone lists the responsive nodes in the node's own zone. Unresponsive lists
	// the unresponsive nodes in all zones.
	SameZone, Unresponsive []string
	// Relays lists the relays of the other zones. It is empty if the node itself is
	// no relay.
	Relays []string
	// OwnZone holds the states and the summary of the node's own zone, to be sent to
	// the relays of the other zones. OtherZones holds those of the other zones, to be
	// sent to the nodes of its own zone. Both are empty if the node is no relay.
	OwnZone, OtherZones gage.Packet
}

// BroadcastPlan returns the addresses and the states for a broadcast at now.
func (r *Roster) BroadcastPlan(now time.Time) BroadcastPlan {
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
	if !r.isRelay(peersByZone[r.zone]) {
		return plan
	}
	summary := gage.ZoneSummary{Zone: r.zone, Downstream: make(map[string][]string)}
	for zone, list := range peersByZone {
		if zone != r.zone {
			for i := 0; i < min(RelaysPerZone, len(list)); i++ {
				plan.Relays = append(plan.Relays, list[i].Address)
			}
		}
		for _, p := range list {
			s := p.NodeState
			s.Age = now.Sub(p.UpdatedAt)
			if zone == r.zone {
				mergeDependencies(summary.Downstream, s.Downstream)
			}
			s.Downstream = nil
			if zone == r.zone {
				plan.OwnZone.States = append(plan.OwnZone.States, s)
			} else {
				plan.OtherZones.States = append(plan.OtherZones.States, s)
			}
		}
	}
	plan.OwnZone.Zones = []gage.ZoneSummary{summary}
	for _, z := range r.zones {
		other := z.ZoneSummary
		other.Age = now.Sub(z.UpdatedAt)
		plan.OtherZones.Zones = append(plan.OtherZones.Zones, other)
	}
	return plan
}

// isRelay reports whether this node is one of the relays of its zone, given the
// responsive nodes in the zone sorted by VM.
func (r *Roster) isRelay(zone []*Peer) bool {
	for i := 0; i < min(RelaysPerZone, len(zone)); i++ {
		if zone[i].VM == r.self {
			return true
		}
	}
	return false
}
