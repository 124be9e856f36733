package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// The measured fleet.
const (
	measuredFleet = 18
	warmUp        = 20 * time.Second
	measuredFor   = 150 * time.Second
	faultAt       = 10 * time.Second
	// ownerGap is detection and fence together, for the single-owner way.
	ownerGap = 7100 * time.Millisecond
)

func measuredLimits() *gage.Config {
	return workspaces(1, 200, 200, 100, 100, 50, 50, 50, 25, 20, 20, 10, 10, 5, 5, 2, 3)
}

// outage is what a scenario does to the fleet, as the simple ways see it.
type outage struct {
	// kill takes down the holder of the largest workspace.
	kill bool
	back time.Duration
	// cutZone cuts a zone off, and loseZone kills all of its nodes.
	cutZone, loseZone bool
	zoneLast          time.Duration
	noStore           bool
	oneEntry          bool
}

// hitZone is the zone that is cut off or lost.
const hitZone = 1

var scenarios = []struct {
	name string
	outage
}{
	{"DemandAtAllNodes", outage{}},
	{"DemandAtOneNode", outage{oneEntry: true}},
	{"HolderKilled", outage{kill: true, back: 60 * time.Second}},
	{"ZoneLost", outage{loseZone: true, zoneLast: 60 * time.Second}},
	{"ZoneCutOff", outage{cutZone: true, zoneLast: 60 * time.Second}},
	{"StoreDown", outage{noStore: true}},
	{"StoreDownHolderKilled", outage{kill: true, back: 200 * time.Second, noStore: true}},
}

// BenchmarkRefusalsWithinRate reports, in percent of the calls, refusals that
// one perfect bucket would not have made, at 80% of each rate.
func BenchmarkRefusalsWithinRate(b *testing.B) {
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				w := measure(s.outage, 0.8)
				if err := w.oracle.verdict(); err != nil {
					b.Fatal(err)
				}
				begin := w.start.Add(warmUp)
				perfect := replay(w.calls, newPerfect())
				b.ReportMetric(excess(w.calls, begin, perfect, granted(w.calls)), "shares-%")
				b.ReportMetric(excess(w.calls, begin, perfect, replay(w.calls, newEqual())), "equal-%")
				b.ReportMetric(excess(w.calls, begin, perfect, replay(w.calls, newOwner(begin, s.outage))), "owner-%")
				b.ReportMetric(worst(w.calls, begin, perfect, granted(w.calls)), "shares-worst-%")
				b.ReportMetric(worst(w.calls, begin, perfect, replay(w.calls, newOwner(begin, s.outage))), "owner-worst-%")
				b.ReportMetric(float64(w.tally.takes)/float64(w.tally.asked), "takes/call")
			}
		})
	}
}

func measure(o outage, factor float64) *world {
	k := usualKnobs()
	k.fleet = measuredFleet
	w := newWorld(11, k)
	config := measuredLimits()
	w.apply(config)
	w.runFor(warmUp - time.Second)
	for _, workspace := range config.Workspaces {
		w.demand(workspace.Name, factor*workspace.Rate, func() *node {
			if o.oneEntry {
				return w.nodes[2]
			}
			return w.nodes[w.random.IntN(len(w.nodes))]
		})
	}
	w.runFor(time.Second + faultAt)
	if o.noStore {
		w.befall(fault{kind: "StoreDown", last: 120 * time.Second})
	}
	if o.kill {
		w.befall(fault{kind: "Kill", node: w.holderOf(config.Workspaces[0].Name), last: o.back})
	}
	if o.cutZone {
		w.befall(fault{kind: "IsolateZone", node: hitZone, last: o.zoneLast})
	}
	for node := hitZone; o.loseZone && node < measuredFleet; node += 3 {
		w.befall(fault{kind: "Kill", node: node, last: o.zoneLast})
	}
	w.runFor(measuredFor - faultAt)
	return w
}

// way decides calls in order.
type way func(c call) bool

func replay(calls []call, decide way) []bool {
	out := make([]bool, len(calls))
	for i, c := range calls {
		out[i] = decide(c)
	}
	return out
}

func granted(calls []call) []bool {
	out := make([]bool, len(calls))
	for i, c := range calls {
		out[i] = c.granted
	}
	return out
}

// excess is the share of calls, in percent, that the perfect bucket grants and
// the way refuses.
func excess(calls []call, begin time.Time, perfect, got []bool) float64 {
	total, refused := 0, 0
	for i, c := range calls {
		if c.at.Before(begin) {
			continue
		}
		total++
		if perfect[i] && !got[i] {
			refused++
		}
	}
	return 100 * float64(refused) / float64(total)
}

// worst is the excess of the worst-served workspace.
func worst(calls []call, begin time.Time, perfect, got []bool) float64 {
	total, refused := make(map[string]int), make(map[string]int)
	for i, c := range calls {
		if c.at.Before(begin) {
			continue
		}
		total[c.workspace]++
		if perfect[i] && !got[i] {
			refused[c.workspace]++
		}
	}
	most := 0.0
	for workspace, count := range total {
		most = max(most, 100*float64(refused[workspace])/float64(count))
	}
	return most
}

func newPerfect() way {
	return perWorkspace(func(call) string { return "" }, 1)
}

// newEqual splits rate and burst equally over the VMs.
func newEqual() way {
	return perWorkspace(func(c call) string { return fmt.Sprint(c.node) }, measuredFleet)
}

func perWorkspace(where func(c call) string, parts float64) way {
	limits := make(map[string]gage.Workspace)
	for _, w := range measuredLimits().Workspaces {
		limits[w.Name] = w
	}
	buckets := make(map[string]*bucket.Bucket)
	return func(c call) bool {
		key := where(c) + "/" + c.workspace
		if buckets[key] == nil {
			w := limits[c.workspace]
			b := bucket.New(c.at, w.Rate/parts, w.Burst/parts)
			b.Tokens = b.Burst
			buckets[key] = &b
		}
		return buckets[key].Take(c.at, 1) == 1
	}
}

// holderOf returns the node that serves the first slot of a workspace.
func (w *world) holderOf(workspace string) int {
	shard := gage.ShardOf(workspace)
	for _, n := range w.nodes {
		if _, ok := n.Standing(shard, 0, n.local()); ok {
			return n.index
		}
	}
	panic("no holder")
}

// newOwner has one owner for each workspace, which needs the store to be
// replaced. The owner of the largest workspace is the one that is killed.
func newOwner(begin time.Time, o outage) way {
	perfect := newPerfect()
	ownerOf := func(workspace string) int {
		return int(xxhash.Sum64String(workspace) % measuredFleet)
	}
	killed := ownerOf("workspace0")
	return func(c call) bool {
		owner := ownerOf(c.workspace)
		since := c.at.Sub(begin.Add(faultAt))
		down := o.kill && owner == killed || o.loseZone && owner%3 == hitZone
		if since >= 0 && down && since < ownerDown(o) {
			return false
		}
		if since >= 0 && o.cutZone && since < o.zoneLast {
			inside, ownerInside := c.node%3 == hitZone, owner%3 == hitZone
			fenced := since >= fence.LeaseDuration
			if inside && (!ownerInside || fenced) || !inside && ownerInside && since < ownerGap {
				return false
			}
		}
		return perfect(c)
	}
}

func ownerDown(o outage) time.Duration {
	if o.noStore {
		return 120 * time.Second
	}
	return ownerGap
}

// BenchmarkMessages reports what the shares cost, a second, without demand and
// with it.
func BenchmarkMessages(b *testing.B) {
	for _, fleet := range []int{6, 18, 36, 72} {
		for _, many := range []int{1, 10} {
			b.Run(fmt.Sprintf("Nodes%d/Workspaces%d", fleet, 8*many), func(b *testing.B) {
				for range b.N {
					measureMessages(b, fleet, many)
				}
			})
		}
	}
}

func measureMessages(b *testing.B, fleet, many int) {
	k := usualKnobs()
	k.fleet = fleet
	w := newWorld(12, k)
	config := &gage.Config{Generation: 1}
	for i := range many {
		for _, workspace := range measuredLimits().Workspaces {
			workspace.Name = fmt.Sprintf("%s-%d", workspace.Name, i)
			config.Workspaces = append(config.Workspaces, workspace)
		}
	}
	w.apply(config)
	w.runFor(60 * time.Second)
	settled := w.tally
	w.runFor(60 * time.Second)
	quiet := w.tally
	w.pressure(config, 0.4)
	w.runFor(20 * time.Second)
	b.ReportMetric(float64(settled.storeCalls), "store-calls-first-minute")
	b.ReportMetric(float64(quiet.storeCalls-settled.storeCalls)/60, "store-calls/s")
	b.ReportMetric(float64(quiet.confirms-settled.confirms)/60, "confirms/s")
	b.ReportMetric(float64(w.tally.takes-quiet.takes)/float64(w.tally.asked-quiet.asked), "takes/call")
}
