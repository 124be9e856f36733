package route_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// isEligible is the test oracle: it reports whether the newest members and
// configuration allow calls to the chosen target.
func isEligible(members []gage.Member, c gage.Config, choice gage.Choice) bool {
	for _, zone := range c.Zones {
		for _, m := range members {
			if m.VM == choice.VM && m.Zone == zone.Name && !zone.InService {
				return false
			}
		}
	}
	for _, target := range c.Targets {
		if target.Name == choice.Target && !target.InService {
			return false
		}
	}
	for _, m := range members {
		serving := m.Targets[0].Phase == gage.TargetServing && m.Targets[0].Name == choice.Target
		if m.VM == choice.VM && m.Phase == gage.MemberAlive && serving {
			return true
		}
	}
	return false
}

// TestPickAgainstMembersAndConfig changes members and configuration at random
// between the picking and the end of attempts. Pick must return only targets
// that the newest members and configuration allow, and must return one as long
// as there is one.
func TestPickAgainstMembersAndConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, conf, at := newFleet(), newConfig(), now
		r := newRouter(members, conf)
		var inFlight []gage.Choice
		update := func() { r.Update(at, members, conf) }
		t.Repeat(map[string]func(*rapid.T){
			"phase": func(t *rapid.T) {
				m := &members[rapid.IntRange(0, vms-1).Draw(t, "vm")]
				m.Phase = rapid.SampledFrom([]gage.MemberPhase{
					gage.MemberAlive, gage.MemberAlive, gage.MemberSuspect, gage.MemberDead, gage.MemberLeft,
				}).Draw(t, "phase")
				update()
			},
			"target": func(t *rapid.T) {
				record := &members[rapid.IntRange(0, vms-1).Draw(t, "vm")].Targets[0]
				record.Incarnation++
				record.Phase = rapid.SampledFrom([]gage.TargetPhase{
					gage.TargetServing, gage.TargetServing, gage.TargetDraining, gage.TargetGone,
				}).Draw(t, "phase")
				update()
			},
			"config": func(t *rapid.T) {
				conf.Zones = []gage.Zone{{
					Name: fmt.Sprint("zone-", rapid.IntRange(0, 2).Draw(t, "zone")), InService: rapid.Bool().Draw(t, "in"),
				}}
				conf.Targets = []gage.Target{{
					Name: fmt.Sprint("search-", rapid.IntRange(0, vms-1).Draw(t, "target")), InService: rapid.Bool().Draw(t, "in"),
				}}
				update()
			},
			"pick": func(t *rapid.T) {
				choice := r.Pick(at, newCall(), nil)
				anyEligible := false
				for _, m := range members {
					anyEligible = anyEligible || isEligible(members, conf, gage.Choice{VM: m.VM, Target: m.Targets[0].Name})
				}
				if choice.OK != anyEligible {
					t.Fatalf("Pick returned %+v, but an eligible target exists: %v", choice, anyEligible)
				}
				if choice.OK && !isEligible(members, conf, choice) {
					t.Fatalf("Pick returned %+v, whose target is not eligible", choice)
				}
				if choice.OK {
					inFlight = append(inFlight, choice)
				}
			},
			"observe": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				at = at.Add(100 * time.Millisecond)
				result := idleResult()
				result.Reason = rapid.SampledFrom([]gage.Reason{gage.ReasonNone, gage.ReasonPeerFailed}).Draw(t, "reason")
				result.Outcome = gage.OutcomeUnknown
				r.Observe(at, inFlight[0], result, 0)
				inFlight = inFlight[1:]
			},
		})
	})
}
