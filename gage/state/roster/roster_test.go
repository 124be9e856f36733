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

func state(vm, zone string, sequence uint64) gage.NodeState {
	return gage.NodeState{
		VM: vm, Zone: zone, Address: vm + ":7000", Started: 1, Sequence: sequence,
		Target: gage.TargetState{ID: "t-" + vm, Service: "search", Phase: gage.TargetServing, Limit: 100},
	}
}

func hear(r *roster.Roster, now time.Time, states ...gage.NodeState) {
	for _, s := range states {
		r.Hear(now, s)
	}
}

func TestPicksOwnZoneWhileItHasRoom(t *testing.T) {
	r := roster.New("a1", "a", random())
	near, far := state("a2", "a", 1), state("b1", "b", 1)
	hear(r, start, near, far)
	counts := make(map[string]int)
	for range 200 {
		p, ok := r.Pick(start, "search", nil)
		assert.Assert(t, ok)
		counts[p.VM]++
		r.Observe(start, p.VM, roster.Served, &gage.TargetState{ID: p.Target.ID})
	}
	assert.Assert(t, counts["a2"] > 150, "%v", counts)
	assert.Assert(t, counts["b1"] > 0, "a target alone in its zone is tried as well: %v", counts)
	near.Sequence, near.Target.InFlight = 2, 95
	hear(r, start, near)
	p, _ := r.Pick(start, "search", nil)
	assert.Equal(t, p.VM, "b1")
}

func TestLeavesOutWhatTakesNoWork(t *testing.T) {
	cases := map[string]func(s *gage.NodeState){
		"draining":  func(s *gage.NodeState) { s.Target.Phase = gage.TargetDraining },
		"no target": func(s *gage.NodeState) { s.Target.ID = "" },
		"leaving":   func(s *gage.NodeState) { s.Leaving = true },
		"service":   func(s *gage.NodeState) { s.Target.Service = "other" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New("a1", "a", random())
			s := state("a2", "a", 1)
			change(&s)
			hear(r, start, s)
			_, ok := r.Pick(start, "search", nil)
			assert.Assert(t, !ok)
		})
	}
	r := roster.New("a1", "a", random())
	hear(r, start, state("a2", "a", 1))
	_, ok := r.Pick(start, "search", []string{"a2"})
	assert.Assert(t, !ok, "tried before")
	_, ok = r.Pick(start.Add(time.Second), "search", nil)
	assert.Assert(t, !ok, "silent for a second")
	r.SetClosed([]string{"a"})
	_, ok = r.Pick(start, "search", nil)
	assert.Assert(t, !ok, "in a closed zone")
	r.SetClosed(nil)
	_, ok = r.Pick(start, "search", nil)
	assert.Assert(t, ok)
}

func TestOlderNewsIsIgnored(t *testing.T) {
	r := roster.New("a1", "a", random())
	restarted := state("a2", "a", 1)
	restarted.Started = 2
	hear(r, start, state("a2", "a", 9), restarted)
	fresh, _ := r.Hear(start, state("a2", "a", 10))
	assert.Assert(t, !fresh, "of the process before")
	fresh, returned := r.Hear(start.Add(2*time.Second), func() gage.NodeState { s := restarted; s.Sequence = 2; return s }())
	assert.Assert(t, fresh && returned)
}

func TestFailingTargetIsLeftAndForgiven(t *testing.T) {
	r := roster.New("a1", "a", random())
	hear(r, start, state("a2", "a", 1), state("a3", "a", 1))
	for range 30 {
		r.Observe(start, "a2", roster.Failed, nil)
	}
	share := func(now time.Time, sequence uint64) int {
		n := 0
		for i := range 100 {
			hear(r, now, state("a2", "a", sequence+uint64(i)), state("a3", "a", sequence+uint64(i)))
			p, _ := r.Pick(now, "search", nil)
			if p.VM == "a2" {
				n++
			}
		}
		return n
	}
	assert.Assert(t, share(start, 10) == 0)
	r.Observe(start.Add(time.Minute), "a2", roster.Served, nil)
	for i := range 100 {
		r.Observe(start.Add(time.Minute+time.Duration(i)*time.Millisecond), "a2", roster.Served, nil)
	}
	assert.Assert(t, share(start.Add(61*time.Second), 1000) > 20)
}

// When a service further down is overloaded, requests fail at all targets
// above it by chance; that must not drive them to other zones.
func TestOverloadFurtherDownKeepsRequestsInTheirZone(t *testing.T) {
	shares := make(map[roster.Outcome]int)
	const requests = 2000
	for _, outcome := range []roster.Outcome{roster.Blocked, roster.Failed} {
		r, chance, now := roster.New("a1", "a", random()), random(), start
		near, far := state("a2", "a", 0), state("b1", "b", 0)
		for range requests {
			now = now.Add(10 * time.Millisecond)
			near.Sequence, near.Target.InFlight = near.Sequence+1, 80
			far.Sequence, far.Target.InFlight = far.Sequence+1, 80
			hear(r, now, near, far)
			p, ok := r.Pick(now, "search", nil)
			assert.Assert(t, ok)
			if p.VM == "a2" {
				shares[outcome]++
			}
			ended := roster.Served
			if chance.Float64() < 0.25 {
				ended = outcome
			}
			r.Observe(now, p.VM, ended, nil)
		}
	}
	assert.Assert(t, shares[roster.Blocked] > requests*9/10, "%v", shares)
	assert.Assert(t, shares[roster.Failed] < requests*9/10, "%v", shares)
}

func TestColdTargetComesLast(t *testing.T) {
	r := roster.New("a1", "a", random())
	cold := state("a2", "a", 1)
	cold.Target.ColdRemaining, cold.Target.ColdRate = 3*time.Second, 40
	busy := state("b1", "b", 1)
	busy.Target.InFlight = 60
	hear(r, start, cold, busy)
	p, _ := r.Pick(start, "search", nil)
	assert.Equal(t, p.VM, "b1")
}

// Each node's news reaches every node over the relays, and no more than two
// nodes of a zone speak to other zones.
func TestNewsCrossesZonesOverRelays(t *testing.T) {
	const nodes, zones = 30, 3
	rosters := make(map[string]*roster.Roster)
	var all []gage.NodeState
	for i := range nodes {
		zone := fmt.Sprintf("z%d", i%zones)
		s := state(fmt.Sprintf("n%02d", i), zone, 1)
		s.Demand = map[string]float64{"aurora": 2}
		rosters[s.VM] = roster.New(s.VM, zone, random())
		all = append(all, s)
	}
	for round := range 3 {
		now := start.Add(time.Duration(round) * 200 * time.Millisecond)
		cross := 0
		for _, s := range all {
			s.Sequence = uint64(round + 1)
			r := rosters[s.VM]
			r.Hear(now, s)
			if round == 0 {
				for _, other := range all {
					r.Hear(now, other)
				}
			}
			plan := r.Plan(now)
			assert.Assert(t, len(plan.Near) < nodes/zones)
			for _, address := range plan.Near {
				tell(rosters[address[:3]], now, gage.Digest{States: []gage.NodeState{s}}, plan.Far)
			}
			cross += len(plan.Relays)
			for _, address := range plan.Relays {
				tell(rosters[address[:3]], now, plan.Own)
			}
		}
		assert.Assert(t, cross <= zones*roster.Relays*(zones-1)*roster.Relays, "%d datagrams between zones", cross)
	}
	now := start.Add(1300 * time.Millisecond)
	for _, s := range all {
		others, known, isolated := rosters[s.VM].Demand(now)
		assert.Equal(t, known, nodes)
		assert.Assert(t, !isolated)
		assert.Assert(t, others["aurora"] >= 2*(nodes-2), "%s knows of %g", s.VM, others["aurora"])
	}
}

func tell(r *roster.Roster, now time.Time, digests ...gage.Digest) {
	for _, d := range digests {
		for _, z := range d.Zones {
			r.HearZone(now, z)
		}
		for _, s := range d.States {
			r.Hear(now, s)
		}
	}
}

func TestIsolatedNodeKnowsIt(t *testing.T) {
	r := roster.New("a1", "a", random())
	for i := range 6 {
		hear(r, start, state(fmt.Sprintf("a%d", i+2), "a", 1))
	}
	_, nodes, isolated := r.Demand(start)
	assert.Equal(t, nodes, 7)
	assert.Assert(t, !isolated)
	_, nodes, isolated = r.Demand(start.Add(3 * time.Second))
	assert.Equal(t, nodes, 1)
	assert.Assert(t, isolated)
}
