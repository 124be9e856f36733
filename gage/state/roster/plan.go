package roster

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Relays is how many nodes of a zone carry news to and from other zones.
const Relays = 2

// Plan is whom a node tells what.
type Plan struct {
	// Near are the live nodes of the node's own zone, and Silent those of any
	// zone that are not heard.
	Near, Silent []string
	// Relays are the relays of the other zones; only a relay has any.
	Relays []string
	// Own sums up this zone for other relays, and Far tells this zone of the
	// others. Both are empty but at a relay.
	Own, Far gage.Digest
}

// Plan returns whom the node tells what.
func (r *Roster) Plan(now time.Time) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var plan Plan
	zones := make(map[string][]*Peer)
	for _, p := range r.peers {
		switch {
		case p.VM == r.self:
			zones[r.zone] = append(zones[r.zone], p)
		case !p.Alive(now):
			plan.Silent = append(plan.Silent, p.Address)
		default:
			zones[p.Zone] = append(zones[p.Zone], p)
			if p.Zone == r.zone {
				plan.Near = append(plan.Near, p.Address)
			}
		}
	}
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	if !r.relays(zones[r.zone]) {
		return plan
	}
	own := gage.ZoneDemand{Zone: r.zone, Demand: make(map[string]float64), Downstream: make(map[string][]string)}
	for zone, list := range zones {
		if zone != r.zone {
			for i := 0; i < min(Relays, len(list)); i++ {
				plan.Relays = append(plan.Relays, list[i].Address)
			}
		}
		for _, p := range list {
			s := p.NodeState
			s.Age = now.Sub(p.Heard)
			if zone == r.zone {
				add(own.Demand, s.Demand)
				merge(own.Downstream, s.Downstream)
			}
			s.Demand, s.Downstream = nil, nil
			if zone == r.zone {
				plan.Own.States = append(plan.Own.States, s)
			} else {
				plan.Far.States = append(plan.Far.States, s)
			}
		}
	}
	plan.Own.Zones = []gage.ZoneDemand{own}
	for _, z := range r.zones {
		told := z.ZoneDemand
		told.Age = now.Sub(z.Heard)
		plan.Far.Zones = append(plan.Far.Zones, told)
	}
	return plan
}

// relays reports whether this node is one of the relays of its zone.
func (r *Roster) relays(zone []*Peer) bool {
	for i := 0; i < min(Relays, len(zone)); i++ {
		if zone[i].VM == r.self {
			return true
		}
	}
	return false
}
