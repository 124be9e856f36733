package route_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/route"
)

var now = time.Unix(1_800_000_000, 0)

const vms = 6

func newConfig() gage.Config {
	return gage.Config{Services: []gage.Service{{Name: "search", ColdConcurrency: 4}}}
}

// newFleet returns six VMs in three zones, with one target each. The VM vm-0 is
// in zone-0.
func newFleet() []gage.Member {
	members := make([]gage.Member, vms)
	for i := range members {
		members[i] = gage.Member{
			VM: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%3),
			PeerAddress: fmt.Sprint("10.0.0.", i, ":1"), Phase: gage.MemberAlive,
			Targets: []gage.TargetRecord{{
				Name: fmt.Sprint("search-", i), Service: "search",
				Phase: gage.TargetServing, Incarnation: 1,
			}},
		}
	}
	return members
}

func newRouter(members []gage.Member, c gage.Config) *route.Router {
	r := route.New(route.Self{VM: "vm-0", Zone: "zone-0"}, route.Source(1))
	r.Update(now, members, c)
	return r
}

func newCall() gage.Call {
	return gage.Call{Service: "search", Importance: gage.ImportanceNormal, Depth: 1}
}

// idleResult is the result of an attempt at an idle target that sheds no calls.
func idleResult() gage.Result {
	return gage.Result{
		Outcome: gage.OutcomeRan,
		Load:    gage.Load{Limit: 100, ShedRank: len(gage.Importances)},
	}
}

// countPicks counts how often each target is picked when every attempt ends at
// once, with the result that resultOf returns for its target.
func countPicks(r *route.Router, at time.Time, resultOf func(target string) gage.Result) map[string]int {
	counts := make(map[string]int)
	for range 1000 {
		choice := r.Pick(at, newCall(), nil)
		counts[choice.Target]++
		r.Observe(at, choice, resultOf(choice.Target), time.Millisecond)
	}
	return counts
}

func TestPickExcludesUnavailableTargets(t *testing.T) {
	cases := []struct {
		name   string
		change func(members []gage.Member, c *gage.Config)
	}{
		{"zone", func(_ []gage.Member, c *gage.Config) { c.Zones = []gage.Zone{{Name: "zone-0"}} }},
		{"targets", func(_ []gage.Member, c *gage.Config) {
			c.Targets = []gage.Target{{Name: "search-0"}, {Name: "search-3"}}
		}},
		{"draining", func(m []gage.Member, _ *gage.Config) {
			m[0].Targets[0].Phase, m[3].Targets[0].Phase = gage.TargetDraining, gage.TargetGone
		}},
		{"members", func(m []gage.Member, _ *gage.Config) {
			m[0].Phase, m[3].Phase = gage.MemberSuspect, gage.MemberDead
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			members, conf := newFleet(), newConfig()
			c.change(members, &conf)
			counts := countPicks(newRouter(members, conf), now, func(string) gage.Result { return idleResult() })
			assert.Equal(t, counts["search-0"]+counts["search-3"], 0)
			assert.Equal(t, len(counts), vms-2)
		})
	}
}

func TestPickPrefersSameZoneUnlessBusier(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	counts := countPicks(r, now, func(string) gage.Result { return idleResult() })
	assert.Equal(t, counts["search-0"]+counts["search-3"], 1000)

	busyInSameZone := func(target string) gage.Result {
		result := idleResult()
		if target == "search-0" || target == "search-3" {
			result.Load.InFlight = 60
		}
		return result
	}
	countPicks(r, now, busyInSameZone)
	counts = countPicks(r, now, busyInSameZone)
	assert.Equal(t, counts["search-0"]+counts["search-3"], 0)
}

func TestPickOfTargetOnSameVMIsLocal(t *testing.T) {
	r := newRouter(newFleet()[:1], newConfig())
	choice := r.Pick(now, newCall(), nil)
	assert.DeepEqual(t, choice, gage.Choice{
		OK: true, Target: "search-0", VM: "vm-0", PeerAddress: "10.0.0.0:1", Local: true,
	})
}

func TestPickExcludesTriedTargets(t *testing.T) {
	r := newRouter(newFleet()[:2], newConfig())
	for range 50 {
		choice := r.Pick(now, newCall(), []string{"search-0"})
		assert.Equal(t, choice.Target, "search-1")
		r.Observe(now, choice, idleResult(), 0)
	}
	assert.Assert(t, r.Pick(now, newCall(), []string{"search-0", "search-1"}).OK)
}

func TestPickWithoutTargets(t *testing.T) {
	choice := newRouter(nil, newConfig()).Pick(now, newCall(), nil)
	assert.Assert(t, !choice.OK)
	assert.Equal(t, choice.Reason, gage.ReasonNoTarget)
}

func TestColdTargetsAreFilledUpToColdConcurrency(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	counts := make(map[string]int)
	for range vms * 4 {
		counts[r.Pick(now, newCall(), nil).Target]++
	}
	for name, count := range counts {
		assert.Equal(t, count, 4, name)
	}
}

func TestNewIncarnationIsColdAgain(t *testing.T) {
	members := newFleet()[:2]
	r := newRouter(members, newConfig())
	countPicks(r, now, func(string) gage.Result { return idleResult() })
	members[0].Targets[0].Incarnation = 2
	r.Update(now, members, newConfig())
	counts := make(map[string]int)
	for range 8 {
		counts[r.Pick(now, newCall(), nil).Target]++
	}
	assert.Equal(t, counts["search-0"], 4)
}

func TestFailingTargetIsEjectedTemporarily(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	failingResult := func(target string) gage.Result {
		if target == "search-0" {
			return gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed}
		}
		return idleResult()
	}
	countPicks(r, now, failingResult)
	assert.Equal(t, countPicks(r, now.Add(time.Second), failingResult)["search-0"], 0)
	picksAfterEjection := countPicks(r, now.Add(3*time.Second), failingResult)["search-0"]
	assert.Assert(t, picksAfterEjection > 0 && picksAfterEjection <= 5, "%d", picksAfterEjection)
}

func TestAtMostHalfOfTargetsAreEjected(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	counts := countPicks(r, now, func(string) gage.Result {
		return gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed}
	})
	assert.Equal(t, counts[""], 0)
	counts = countPicks(r, now, func(string) gage.Result { return idleResult() })
	assert.Assert(t, len(counts) >= vms/2, "%v", counts)
}

// reportShedding makes every target report that it sheds calls of importance
// Normal and below.
func reportShedding(r *route.Router) {
	for range 200 {
		critical := newCall()
		critical.Importance = gage.ImportanceCritical
		choice := r.Pick(now, critical, nil)
		result := idleResult()
		result.Load.ShedRank = gage.ImportanceNormal.Rank()
		result.Load.InFlight = 100
		r.Observe(now, choice, result, 0)
	}
}

func TestOverloadRefusalLetsProbesThrough(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	reportShedding(r)
	refused := 0
	for range 2000 {
		choice := r.Pick(now, newCall(), nil)
		if choice.OK {
			r.Observe(now, choice, gage.Result{Outcome: gage.OutcomeNotRun}, 0)
			continue
		}
		assert.Equal(t, choice.Reason, gage.ReasonOverload)
		assert.Assert(t, choice.RetryAfter > 0)
		refused++
	}
	assert.Assert(t, refused > 1850 && refused < 1950, "%d refused", refused)
	afterExpiry := r.Pick(now.Add(2*time.Second), newCall(), nil)
	assert.Assert(t, afterExpiry.OK)
}

func TestOverloadRefusalExemptsImportantAndNestedCalls(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	reportShedding(r)
	high, nested := newCall(), newCall()
	high.Importance = gage.ImportanceHigh
	nested.Depth = 2
	for range 200 {
		assert.Assert(t, r.Pick(now, high, nil).OK)
		assert.Assert(t, r.Pick(now, nested, nil).OK)
	}
}

func TestRecoveredTargetsAcceptCallsAgain(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	reportShedding(r)
	for range 400 {
		choice := r.Pick(now, newCall(), nil)
		r.Observe(now, choice, idleResult(), 0)
	}
	assert.Assert(t, r.Pick(now, newCall(), nil).OK)
}

// TestPickDuringUpdates lets the race detector check Pick and Observe against
// concurrent updates.
func TestPickDuringUpdates(t *testing.T) {
	r := newRouter(newFleet(), newConfig())
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() { countPicks(r, now, func(string) gage.Result { return idleResult() }) })
	}
	for range 100 {
		r.Update(now, newFleet(), newConfig())
	}
	callers.Wait()
	assert.Assert(t, r.Pick(now, newCall(), nil).OK)
}
