package roster

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// RelaysPerZone is how many nodes of a zone carry news to and from other zones.
const RelaysPerZone = 2

// BroadcastPlan is whom a node tells what.
type BroadcastPlan struct {
	// SameZone are the live nodes of the node's own zone, and Unresponsive those of any
	// zone that are not heard.
	SameZone, Unresponsive []string
	// Relays are the relays of the other zones; only a relay has any.
	Relays []string
	// OwnZone sums up this zone for other relays, and OtherZones tells this zone of the
	// others. Both are empty but at a relay.
	OwnZone, OtherZones gage.Digest
}

// BroadcastPlan returns whom the node tells what.
func (r *Roster) BroadcastPlan(now time.Time) BroadcastPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var plan BroadcastPlan
	zones := make(map[string][]*Peer)
	for _, p := range r.peers {
		switch {
		case p.VM == r.self:
			zones[r.zone] = append(zones[r.zone], p)
		case !p.Alive(now):
			plan.Unresponsive = append(plan.Unresponsive, p.Address)
		default:
			zones[p.Zone] = append(zones[p.Zone], p)
			if p.Zone == r.zone {
				plan.SameZone = append(plan.SameZone, p.Address)
			}
		}
	}
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	if !r.relays(zones[r.zone]) {
		return plan
	}
	own := gage.ZoneDemand{Zone: r.zone, Demand: make(map[string]float64), Leads: make(map[string][]string)}
	for zone, list := range zones {
		if zone != r.zone {
			for i := 0; i < min(RelaysPerZone, len(list)); i++ {
				plan.Relays = append(plan.Relays, list[i].Address)
			}
		}
		for _, p := range list {
			s := p.NodeState
			s.Age = now.Sub(p.UpdatedAt)
			if zone == r.zone {
				add(own.Demand, s.Demand)
				merge(own.Leads, s.Leads)
			}
			s.Demand, s.Leads = nil, nil
			if zone == r.zone {
				plan.OwnZone.States = append(plan.OwnZone.States, s)
			} else {
				plan.OtherZones.States = append(plan.OtherZones.States, s)
			}
		}
	}
	plan.OwnZone.Zones = []gage.ZoneDemand{own}
	for _, z := range r.zones {
		told := z.ZoneDemand
		told.Age = now.Sub(z.UpdatedAt)
		plan.OtherZones.Zones = append(plan.OtherZones.Zones, told)
	}
	return plan
}

// relays reports whether this node is one of the relays of its zone.
func (r *Roster) relays(zone []*Peer) bool {
	for i := 0; i < min(RelaysPerZone, len(zone)); i++ {
		if zone[i].VM == r.self {
			return true
		}
	}
	return false
}
