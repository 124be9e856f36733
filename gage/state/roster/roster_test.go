package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
)

var start = time.Unix(1_800_000_000, 0)

const seed = 20261204

func random() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func nodeState(vm, zone string, sequence uint64) gage.NodeState {
	return gage.NodeState{
		VM: vm, Zone: zone, Address: vm + ":7000", StartedAt: 1, Sequence: sequence,
		Target: gage.TargetState{ID: "t-" + vm, Service: "search", Phase: gage.TargetServing, Limit: 100},
	}
}

func update(r *roster.Roster, now time.Time, states ...gage.NodeState) {
	for _, s := range states {
		r.Update(now, s)
	}
}

func TestPicksOwnZoneWhileItHasCapacity(t *testing.T) {
	r := roster.New("a1", "a", random())
	sameZone, otherZone := nodeState("a2", "a", 1), nodeState("b1", "b", 1)
	update(r, start, sameZone, otherZone)
	counts := make(map[string]int)
	for range 200 {
		p, ok := r.Pick(start, "search", nil)
		assert.Assert(t, ok)
		counts[p.VM]++
		r.Observe(start, p.VM, roster.Served, &gage.TargetState{ID: p.Target.ID})
	}
	assert.Assert(t, counts["a2"] > 150, "%v", counts)
	assert.Assert(t, counts["b1"] > 0, "a target alone in its zone is tried as well: %v", counts)
	sameZone.Sequence, sameZone.Target.InFlight = 2, 95
	update(r, start, sameZone)
	p, _ := r.Pick(start, "search", nil)
	assert.Equal(t, p.VM, "b1")
}

func TestPickSkipsTargetsThatAcceptNoRequests(t *testing.T) {
	cases := map[string]func(s *gage.NodeState){
		"draining":  func(s *gage.NodeState) { s.Target.Phase = gage.TargetDraining },
		"no target": func(s *gage.NodeState) { s.Target.ID = "" },
		"leaving":   func(s *gage.NodeState) { s.Leaving = true },
		"service":   func(s *gage.NodeState) { s.Target.Service = "other" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New("a1", "a", random())
			s := nodeState("a2", "a", 1)
			change(&s)
			update(r, start, s)
			_, ok := r.Pick(start, "search", nil)
			assert.Assert(t, !ok)
		})
	}
	r := roster.New("a1", "a", random())
	update(r, start, nodeState("a2", "a", 1))
	_, ok := r.Pick(start, "search", []string{"a2"})
	assert.Assert(t, !ok, "tried before")
	_, ok = r.Pick(start.Add(time.Second), "search", nil)
	assert.Assert(t, !ok, "no state for a second")
	r.SetClosedZones([]string{"a"})
	_, ok = r.Pick(start, "search", nil)
	assert.Assert(t, !ok, "in a closed zone")
	r.SetClosedZones(nil)
	_, ok = r.Pick(start, "search", nil)
	assert.Assert(t, ok)
}

func TestOlderStatesAreIgnored(t *testing.T) {
	r := roster.New("a1", "a", random())
	restarted := nodeState("a2", "a", 1)
	restarted.StartedAt = 2
	update(r, start, nodeState("a2", "a", 9), restarted)
	isNew, _ := r.Update(start, nodeState("a2", "a", 10))
	assert.Assert(t, !isNew, "a state of the previous process must be ignored")
	isNew, reconnected := r.Update(start.Add(2*time.Second), func() gage.NodeState { s := restarted; s.Sequence = 2; return s }())
	assert.Assert(t, isNew && reconnected)
}

func TestFailingTargetIsAvoidedUntilItRecovers(t *testing.T) {
	r := roster.New("a1", "a", random())
	update(r, start, nodeState("a2", "a", 1), nodeState("a3", "a", 1))
	for range 30 {
		r.Observe(start, "a2", roster.Failed, nil)
	}
	picksOfFailing := func(now time.Time, sequence uint64) int {
		picks := 0
		for i := range 100 {
			update(r, now, nodeState("a2", "a", sequence+uint64(i)), nodeState("a3", "a", sequence+uint64(i)))
			p, _ := r.Pick(now, "search", nil)
			if p.VM == "a2" {
				picks++
			}
		}
		return picks
	}
	assert.Assert(t, picksOfFailing(start, 10) == 0)
	r.Observe(start.Add(time.Minute), "a2", roster.Served, nil)
	for i := range 100 {
		r.Observe(start.Add(time.Minute+time.Duration(i)*time.Millisecond), "a2", roster.Served, nil)
	}
	assert.Assert(t, picksOfFailing(start.Add(61*time.Second), 1000) > 20)
}

// When a service further down the call chain is overloaded, requests fail at
// random at all targets that call it. Such failures must not move requests to
// other zones.
func TestDownstreamOverloadKeepsRequestsInTheirZone(t *testing.T) {
	shares := make(map[roster.Outcome]int)
	const requests = 2000
	for _, outcome := range []roster.Outcome{roster.Blocked, roster.Failed} {
		r, failures, now := roster.New("a1", "a", random()), random(), start
		sameZone, otherZone := nodeState("a2", "a", 0), nodeState("b1", "b", 0)
		for range requests {
			now = now.Add(10 * time.Millisecond)
			sameZone.Sequence, sameZone.Target.InFlight = sameZone.Sequence+1, 80
			otherZone.Sequence, otherZone.Target.InFlight = otherZone.Sequence+1, 80
			update(r, now, sameZone, otherZone)
			p, ok := r.Pick(now, "search", nil)
			assert.Assert(t, ok)
			if p.VM == "a2" {
				shares[outcome]++
			}
			outcomeOfRequest := roster.Served
			if failures.Float64() < 0.25 {
				outcomeOfRequest = outcome
			}
			r.Observe(now, p.VM, outcomeOfRequest, nil)
		}
	}
	assert.Assert(t, shares[roster.Blocked] > requests*9/10, "%v", shares)
	assert.Assert(t, shares[roster.Failed] < requests*9/10, "%v", shares)
}

func TestWarmTargetIsPreferredToColdOne(t *testing.T) {
	r := roster.New("a1", "a", random())
	cold := nodeState("a2", "a", 1)
	cold.Target.ColdRemaining, cold.Target.ColdRate = 3*time.Second, 40
	busy := nodeState("b1", "b", 1)
	busy.Target.InFlight = 60
	update(r, start, cold, busy)
	p, _ := r.Pick(start, "search", nil)
	assert.Equal(t, p.VM, "b1")
}

// The state of each node reaches every node over the relays, and at most two
// nodes of a zone send to other zones.
func TestStatesReachOtherZonesOverRelays(t *testing.T) {
	const nodes, zones = 30, 3
	rosters := make(map[string]*roster.Roster)
	var all []gage.NodeState
	for i := range nodes {
		zone := fmt.Sprintf("z%d", i%zones)
		s := nodeState(fmt.Sprintf("n%02d", i), zone, 1)
		s.Downstream = map[string][]string{"look": {"service-of-" + s.VM}}
		rosters[s.VM] = roster.New(s.VM, zone, random())
		all = append(all, s)
	}
	for round := range 3 {
		now := start.Add(time.Duration(round) * 200 * time.Millisecond)
		crossZoneMessages := 0
		for _, s := range all {
			s.Sequence = uint64(round + 1)
			r := rosters[s.VM]
			r.Update(now, s)
			if round == 0 {
				for _, other := range all {
					r.Update(now, other)
				}
			}
			plan := r.BroadcastPlan(now, round)
			assert.Assert(t, len(plan.SameZone) < nodes/zones)
			for _, address := range plan.SameZone {
				deliver(rosters[address[:3]], now, gage.Packet{States: []gage.NodeState{s}}, plan.OtherZones)
			}
			crossZoneMessages += len(plan.Relays)
			for _, address := range plan.Relays {
				deliver(rosters[address[:3]], now, plan.OwnZone)
			}
		}
		assert.Assert(t, crossZoneMessages <= zones*roster.RelaysPerZone*(zones-1)*roster.RelaysPerZone, "%d sends between zones", crossZoneMessages)
	}
	now := start.Add(1200 * time.Millisecond)
	for _, s := range all {
		fleet := rosters[s.VM].Fleet(now, false)
		assert.Equal(t, len(fleet.Members), nodes)
		assert.Equal(t, fleet.Known, nodes)
		dependencies, _ := rosters[s.VM].Pressure(now)
		assert.Assert(t, len(dependencies["look"]) >= nodes-2, "%s knows %d dependencies", s.VM, len(dependencies["look"]))
	}
}

func deliver(r *roster.Roster, now time.Time, packets ...gage.Packet) {
	for _, d := range packets {
		for _, z := range d.Zones {
			r.UpdateZone(now, z)
		}
		for _, s := range d.States {
			r.Update(now, s)
		}
		for _, l := range d.Loads {
			r.UpdateLoad(now, l)
		}
	}
}

// A node counts the nodes that it no longer hears as part of the fleet, for as long as
// they may still serve on the other side of a partition.
func TestFleetIncludesSilentNodesForAWhile(t *testing.T) {
	r := roster.New("a1", "a", random())
	for i := range 6 {
		update(r, start, nodeState(fmt.Sprintf("a%d", i+2), "a", 1))
	}
	r.AddAddress(start, "a8", "a8:7000")
	assert.DeepEqual(t, r.Fleet(start, false), roster.Fleet{Members: []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"}, Known: 8})
	assert.DeepEqual(t, r.Fleet(start.Add(3*time.Second), false), roster.Fleet{Members: []string{"a1"}, Known: 8})
	assert.DeepEqual(t, r.Fleet(start.Add(6*time.Second), false), roster.Fleet{Members: []string{"a1"}, Known: 1})
	assert.Equal(t, r.ResponsiveNodes(start), 7)
	assert.Equal(t, r.ResponsiveNodes(start.Add(3*time.Second)), 1)
}

func TestLeavingNodesAreNotPartOfTheFleet(t *testing.T) {
	r := roster.New("a1", "a", random())
	leaving := nodeState("a2", "a", 1)
	leaving.Leaving = true
	update(r, start, leaving, nodeState("a3", "a", 1))
	assert.DeepEqual(t, r.Fleet(start, true), roster.Fleet{Members: []string{"a3"}, Known: 1})
}

// zoneRelays simulates two zones of nodes, whose first relays exchange packets.
type zoneRelays struct {
	now       time.Time
	states    []gage.NodeState
	from, to  *roster.Roster
	lost      func(round int) bool
	round     int
	fullCount int
	loadCount int
}

func newZoneRelays(nodes int) *zoneRelays {
	z := &zoneRelays{now: start, from: roster.New("a00", "a", random()), to: roster.New("b00", "b", random())}
	for i := range nodes {
		z.states = append(z.states, nodeState(fmt.Sprintf("a%02d", i), "a", 0))
	}
	z.from.Update(z.now, nodeState("b00", "b", 1))
	return z
}

// exchange lets each node of zone a report its state and the relay send its packet.
func (z *zoneRelays) exchange() {
	z.now = z.now.Add(200 * time.Millisecond)
	z.round++
	for i := range z.states {
		z.states[i].Sequence++
		z.from.Update(z.now, z.states[i])
	}
	b := nodeState("b00", "b", uint64(z.round+1))
	z.from.Update(z.now, b)
	z.to.Update(z.now, b)
	packet := z.from.BroadcastPlan(z.now, 0).OwnZone
	z.fullCount, z.loadCount = len(packet.States), len(packet.Loads)
	if z.lost == nil || !z.lost(z.round) {
		deliver(z.to, z.now, packet)
	}
}

func (z *zoneRelays) peer(vm string) roster.Peer {
	for _, p := range z.to.Peers(z.now) {
		if p.VM == vm {
			return p
		}
	}
	return roster.Peer{}
}

// In a steady fleet, a relay sends few states in full, and the other zone still learns
// every load.
func TestRelaySendsOnlyTheLoadOfUnchangedStates(t *testing.T) {
	const nodes, rounds = 30, 50
	z := newZoneRelays(nodes)
	full := 0
	for round := range rounds {
		z.states[7].Target.InFlight = round
		z.exchange()
		assert.Equal(t, z.fullCount+z.loadCount, nodes)
		full += z.fullCount
		assert.Equal(t, z.peer("a07").Target.InFlight, round)
		assert.Assert(t, z.peer("a29").Alive(z.now))
	}
	assert.Assert(t, full <= rounds+nodes*9, "%d states sent in full", full)
}

func TestChangedStatesReachTheOtherZoneAtOnce(t *testing.T) {
	z := newZoneRelays(10)
	for range 5 {
		z.exchange()
	}
	changes := map[string]func(s *gage.NodeState){
		"a01": func(s *gage.NodeState) { s.Target.Phase = gage.TargetDraining },
		"a02": func(s *gage.NodeState) { s.Target = gage.TargetState{} },
		"a03": func(s *gage.NodeState) { s.Leaving = true },
		"a04": func(s *gage.NodeState) { s.Target.ColdRemaining, s.Target.ColdRate = 3*time.Second, 20 },
		"a05": func(s *gage.NodeState) { s.StartedAt, s.Sequence = 2, 0 },
		"a06": func(s *gage.NodeState) { s.Address = "a06:7001" },
		"a07": func(s *gage.NodeState) { s.Target.Limit = 7 },
	}
	for i := range z.states {
		if change := changes[z.states[i].VM]; change != nil {
			change(&z.states[i])
		}
	}
	z.exchange()
	for i := range z.states {
		p := z.peer(z.states[i].VM)
		assert.DeepEqual(t, p.NodeState, z.states[i])
	}
}

// A cold target is known to stay cold for as long as it said, although only its load is
// sent meanwhile.
func TestColdTimeRunsDownBetweenFullStates(t *testing.T) {
	z := newZoneRelays(3)
	z.states[1].Target.ColdRate = 20
	for i := range 12 {
		z.states[1].Target.ColdRemaining = 10*time.Second - time.Duration(i)*200*time.Millisecond
		z.exchange()
		assert.Equal(t, z.peer("a01").Target.ColdRemaining, z.states[1].Target.ColdRemaining)
	}
}

// A lost packet delays what it tells by the time until the next one.
func TestLostPacketDelaysNewsBriefly(t *testing.T) {
	z := newZoneRelays(10)
	for range 5 {
		z.exchange()
	}
	z.states[4].Target.Phase = gage.TargetDraining
	z.lost = func(round int) bool { return round == 6 }
	z.exchange()
	assert.Equal(t, z.peer("a04").Target.Phase, gage.TargetServing)
	z.exchange()
	assert.Equal(t, z.peer("a04").Target.Phase, gage.TargetDraining)
}

// A node that starts after the relay has sent the states learns them when it is heard.
func TestNewNodeLearnsAllStates(t *testing.T) {
	z := newZoneRelays(10)
	for range 5 {
		z.exchange()
	}
	z.to = roster.New("b01", "b", random())
	z.from.Update(z.now, nodeState("b01", "b", 1))
	z.exchange()
	assert.Assert(t, z.peer("a09").Alive(z.now))
}

// The two relays of a zone take turns in sending the loads, and both send changed states
// in every round.
func TestRelaysTakeTurns(t *testing.T) {
	const nodes = 6
	relays := []*roster.Roster{roster.New("a00", "a", random()), roster.New("a01", "a", random())}
	for round := range 20 {
		now := start.Add(time.Duration(round) * 200 * time.Millisecond)
		for i := range nodes {
			s := nodeState(fmt.Sprintf("a%02d", i), "a", uint64(round+1))
			if round >= 15 && i == 4 {
				s.Target.Phase = gage.TargetDraining
			}
			update(relays[0], now, s)
			update(relays[1], now, s)
		}
		loads, drained := 0, 0
		for _, r := range relays {
			update(r, now, nodeState("b00", "b", uint64(round+1)))
			packet := r.BroadcastPlan(now, round).OwnZone
			if len(packet.Loads) > 0 {
				loads++
			}
			for _, s := range packet.States {
				if s.Target.Phase == gage.TargetDraining {
					drained++
				}
			}
		}
		assert.Assert(t, loads <= 1, "round %d: %d relays send loads", round, loads)
		assert.Assert(t, round < 3 || round%10 < 2 || loads == 1, "round %d: no relay sends loads", round)
		if round == 15 {
			assert.Equal(t, drained, 2)
		}
	}
}

// Broadcasts between two rounds do not carry the states of other zones, and must not
// count as having sent them.
func TestNewsBetweenRoundsDoesNotReplaceFullStates(t *testing.T) {
	relay := roster.New("a00", "a", random())
	now := start
	for round := range 6 {
		now = now.Add(200 * time.Millisecond)
		b := nodeState("b00", "b", uint64(round+1))
		if round == 5 {
			b.Target.Phase = gage.TargetDraining
		}
		update(relay, now, nodeState("a00", "a", uint64(round+1)), b)
		if round < 5 {
			relay.BroadcastPlan(now, round)
		}
	}
	for range 3 {
		news := relay.NewsPlan(now)
		assert.Equal(t, len(news.OtherZones.States)+len(news.OtherZones.Loads)+len(news.OwnZone.Loads), 0)
	}
	assert.Equal(t, len(relay.BroadcastPlan(now, 0).OtherZones.States), 1, "the change is still to be told")
}

func TestForgedLoadsChangeNothing(t *testing.T) {
	z := newZoneRelays(3)
	z.exchange()
	known := z.peer("a01")
	fingerprint := known.Fingerprint()
	assert.Assert(t, !z.to.UpdateLoad(z.now, gage.LoadUpdate{Fingerprint: fingerprint + 1, Sequence: 99, InFlight: 50}))
	assert.Assert(t, !z.to.UpdateLoad(z.now, gage.LoadUpdate{Fingerprint: fingerprint, Sequence: known.Sequence, InFlight: 50}))
	assert.DeepEqual(t, z.peer("a01").NodeState, known.NodeState)
}

// Nodes that know the same fleet have different ranks.
func TestRanksOrderTheFleet(t *testing.T) {
	const nodes, zones = 30, 3
	seen := make(map[int]string)
	for i := range nodes {
		r := roster.New(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones), random())
		for j := range nodes {
			s := nodeState(fmt.Sprintf("n%02d", j), fmt.Sprintf("z%d", j%zones), 1)
			s.Leaving = j == 3
			update(r, start, s)
		}
		if i == 3 {
			continue
		}
		rank := r.Rank(start)
		assert.Equal(t, seen[rank], "", "rank %d", rank)
		seen[rank] = r.Fleet(start, false).Members[0]
		assert.Assert(t, rank < nodes-1, "a leaving node does not count")
		assert.Equal(t, r.Rank(start.Add(time.Minute)), 0, "a node that hears no other comes first")
	}
}
