package gossip

import (
	"slices"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// scope is the part of the fleet from which a node chooses a peer: its own
// zone, its own region or the whole fleet.
type scope string

const (
	scopeZone   scope = "Zone"
	scopeRegion scope = "Region"
	scopeFleet  scope = "Fleet"
)

// scopes lists all scopes from the smallest to the largest.
var scopes = []scope{scopeZone, scopeRegion, scopeFleet}

// The peer to probe is chosen from the node's own zone for zoneProbePercent of the
// probes, and from its own region for regionProbePercent. For all other probes it is
// chosen from the whole fleet.
const (
	zoneProbePercent   = 40
	regionProbePercent = 20
)

// roundRobin holds, for each scope, the VMs not yet chosen in the present
// round, in random order. Each live peer is chosen once in a round.
type roundRobin map[scope][]string

// randomScope draws the scope of the next probe.
func (c *Core) randomScope() scope {
	switch n := c.rand.IntN(100); {
	case n < zoneProbePercent:
		return scopeZone
	case n < zoneProbePercent+regionProbePercent:
		return scopeRegion
	}
	return scopeFleet
}

// nextToProbe returns the node to probe next. It picks a scope at random. If that
// holds no other live node, it tries each larger scope in turn. It returns false
// when no other node is live.
func (c *Core) nextToProbe() (member.Entry, bool) {
	smallestScope := c.randomScope()
	for _, s := range scopes[slices.Index(scopes, smallestScope):] {
		if e, ok := c.nextInScope(s); ok {
			return e, true
		}
	}
	return member.Entry{}, false
}

// nextInScope returns the next live peer of a scope's round and removes it from
// the round. It begins a new round when the present one is used up, and returns
// false when the scope holds no other live node.
func (c *Core) nextInScope(s scope) (member.Entry, bool) {
	for refilled := false; ; {
		for list := c.roundRobin[s]; len(list) > 0; list = c.roundRobin[s] {
			vm := list[len(list)-1]
			c.roundRobin[s] = list[:len(list)-1]
			if e, ok := c.Table.Get(vm); ok && !e.Gone() {
				return e, true
			}
		}
		if refilled {
			return member.Entry{}, false
		}
		refilled = true
		c.refillRound(s)
	}
}

// refillRound begins a new round of a scope with all other live nodes in it.
func (c *Core) refillRound(s scope) {
	self := c.Table.Self()
	list := c.roundRobin[s][:0]
	c.Table.Each(func(e *member.Entry) {
		m := &e.Member
		inScope := s == scopeFleet || m.Region == self.Region && (s == scopeRegion || m.Zone == self.Zone)
		if inScope && !e.Gone() && m.VM != self.VM {
			list = append(list, m.VM)
		}
	})
	c.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.roundRobin[s] = list
}

// randomPeer returns the next peer in the random order of the whole fleet. It
// returns false when no other node is live.
func (c *Core) randomPeer() (member.Entry, bool) {
	return c.nextInScope(scopeFleet)
}
