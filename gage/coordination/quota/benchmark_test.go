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

// The size of the simulated fleet and the times of a run. The measurement starts
// after warmUpTime.
const (
	fleetSize    = 18
	warmUpTime   = 20 * time.Second
	measuredTime = 150 * time.Second
	// faultTime is the time from the start of the measurement to the fault.
	faultTime = 10 * time.Second
	// ownerFailoverTime is the time in which the single-owner scheme replaces a
	// failed owner: failure detection plus the wait until its lease has
	// expired.
	ownerFailoverTime = 7100 * time.Millisecond
)

// comparedLimits returns the workspaces of the benchmarks.
func comparedLimits() *gage.Config {
	return workspaces(1, 200, 200, 100, 100, 50, 50, 50, 25, 20, 20, 10, 10, 5, 5, 2, 3)
}

// conditions are the load and the faults of a scenario.
type conditions struct {
	// killHolder kills the holder of slot 0 of the largest workspace's shard.
	// The process restarts after restartDelay.
	killHolder   bool
	restartDelay time.Duration
	// isolateZone isolates faultZone from the other zones, and killZone kills all
	// nodes of faultZone. Both last for zoneDuration.
	isolateZone, killZone bool
	zoneDuration          time.Duration
	// storeDown makes the store unavailable for 120 s.
	storeDown bool
	// singleEntry makes all calls enter at one node.
	singleEntry bool
}

// faultZone is the zone that is isolated or killed.
const faultZone = 1

var scenarios = []struct {
	name string
	conditions
}{
	{"DemandAtAllNodes", conditions{}},
	{"DemandAtOneNode", conditions{singleEntry: true}},
	{"HolderKilled", conditions{killHolder: true, restartDelay: 60 * time.Second}},
	{"ZoneLost", conditions{killZone: true, zoneDuration: 60 * time.Second}},
	{"ZoneCutOff", conditions{isolateZone: true, zoneDuration: 60 * time.Second}},
	{"StoreDown", conditions{storeDown: true}},
	{"StoreDownHolderKilled", conditions{killHolder: true, restartDelay: 200 * time.Second, storeDown: true}},
}

// BenchmarkRefusalsWithinRate reports the percentage of calls that are refused
// although a single bucket for the whole fleet would have granted them. The load is
// 80% of each workspace's rate. The benchmark compares package quota ("shares") with
// two simpler schemes: rate and burst split equally over the VMs ("equal"), and one
// owner process for each workspace ("owner").
func BenchmarkRefusalsWithinRate(b *testing.B) {
	for _, scenario := range scenarios {
		b.Run(scenario.name, func(b *testing.B) {
			for range b.N {
				sim := simulateConditions(scenario.conditions, 0.8)
				if err := sim.oracle.check(); err != nil {
					b.Fatal(err)
				}
				begin := sim.start.Add(warmUpTime)
				expected := replay(sim.calls, newSingleBucket())
				b.ReportMetric(wrongRefusals(sim.calls, begin, expected, granted(sim.calls)), "shares-%")
				b.ReportMetric(wrongRefusals(sim.calls, begin, expected, replay(sim.calls, newEqualSplit())), "equal-%")
				b.ReportMetric(wrongRefusals(sim.calls, begin, expected, replay(sim.calls, newSingleOwner(begin, scenario.conditions))), "owner-%")
				b.ReportMetric(worstWrongRefusals(sim.calls, begin, expected, granted(sim.calls)), "shares-worst-%")
				b.ReportMetric(worstWrongRefusals(sim.calls, begin, expected, replay(sim.calls, newSingleOwner(begin, scenario.conditions))), "owner-worst-%")
				b.ReportMetric(float64(sim.tally.takeRequests)/float64(sim.tally.calls), "takes/call")
			}
		})
	}
}

// simulateConditions runs the fleet under conditions cond, with calls at factor times each
// rate.
func simulateConditions(cond conditions, factor float64) *simulation {
	settings := defaultSettings()
	settings.nodeCount = fleetSize
	sim := newSimulation(11, settings)
	config := comparedLimits()
	sim.applyConfig(config)
	sim.runFor(warmUpTime - time.Second)
	for _, workspace := range config.Workspaces {
		sim.generateCalls(workspace.Name, factor*workspace.Rate, func() *node {
			if cond.singleEntry {
				return sim.nodes[2]
			}
			return sim.nodes[sim.random.IntN(len(sim.nodes))]
		})
	}
	sim.runFor(time.Second + faultTime)
	if cond.storeDown {
		sim.injectFault(fault{kind: "StoreDown", duration: 120 * time.Second})
	}
	if cond.killHolder {
		sim.injectFault(fault{kind: "Kill", node: sim.holderOf(config.Workspaces[0].Name), duration: cond.restartDelay})
	}
	if cond.isolateZone {
		sim.injectFault(fault{kind: "IsolateZone", node: faultZone, duration: cond.zoneDuration})
	}
	for node := faultZone; cond.killZone && node < fleetSize; node += 3 {
		sim.injectFault(fault{kind: "Kill", node: node, duration: cond.zoneDuration})
	}
	sim.runFor(measuredTime - faultTime)
	return sim
}

// limiterModel reports whether a limiter grants a call. It must be called for
// all calls in order of time.
type limiterModel func(c callRecord) bool

// replay returns for each call whether the model grants it.
func replay(calls []callRecord, grants limiterModel) []bool {
	out := make([]bool, len(calls))
	for i, c := range calls {
		out[i] = grants(c)
	}
	return out
}

// granted returns for each call whether it was granted in the simulation.
func granted(calls []callRecord) []bool {
	out := make([]bool, len(calls))
	for i, c := range calls {
		out[i] = c.isGranted
	}
	return out
}

// wrongRefusals returns the percentage of the calls since begin that the limiter
// under test refuses although the single bucket grants them.
func wrongRefusals(calls []callRecord, begin time.Time, expected, actual []bool) float64 {
	total, refused := 0, 0
	for i, c := range calls {
		if c.enteredAt.Before(begin) {
			continue
		}
		total++
		if expected[i] && !actual[i] {
			refused++
		}
	}
	return 100 * float64(refused) / float64(total)
}

// worstWrongRefusals returns the highest percentage of wrong refusals among the
// workspaces.
func worstWrongRefusals(calls []callRecord, begin time.Time, expected, actual []bool) float64 {
	total, refused := make(map[string]int), make(map[string]int)
	for i, c := range calls {
		if c.enteredAt.Before(begin) {
			continue
		}
		total[c.workspace]++
		if expected[i] && !actual[i] {
			refused[c.workspace]++
		}
	}
	worst := 0.0
	for workspace, count := range total {
		worst = max(worst, 100*float64(refused[workspace])/float64(count))
	}
	return worst
}

// newSingleBucket returns a model with one bucket for each workspace, always
// reachable from all nodes.
func newSingleBucket() limiterModel {
	return newSplitBuckets(func(callRecord) string { return "" }, 1)
}

// newEqualSplit returns a model that splits rate and burst equally over the
// VMs.
func newEqualSplit() limiterModel {
	return newSplitBuckets(func(c callRecord) string { return fmt.Sprint(c.node) }, fleetSize)
}

// newSplitBuckets returns a model with one bucket for each workspace and value
// of groupOf. Each bucket has the limits divided by parts.
func newSplitBuckets(groupOf func(c callRecord) string, parts float64) limiterModel {
	limits := make(map[string]gage.Workspace)
	for _, workspace := range comparedLimits().Workspaces {
		limits[workspace.Name] = workspace
	}
	buckets := make(map[string]*bucket.Bucket)
	return func(c callRecord) bool {
		key := groupOf(c) + "/" + c.workspace
		if buckets[key] == nil {
			workspace := limits[c.workspace]
			b := bucket.New(c.enteredAt, workspace.Rate/parts, workspace.Burst/parts)
			b.Tokens = b.Burst
			buckets[key] = &b
		}
		return buckets[key].Take(c.enteredAt, 1) == 1
	}
}

// holderOf returns the index of the node that serves slot 0 of a workspace's
// shard.
func (sim *simulation) holderOf(workspace string) int {
	shard := gage.ShardOf(workspace)
	for _, n := range sim.nodes {
		if _, ok := n.HeldEpoch(shard, 0, n.localTime()); ok {
			return n.index
		}
	}
	panic("no holder")
}

// newSingleOwner returns a model with one owner process for each workspace. A
// failed owner is replaced only while the store is up. With killHolder, the
// owner of the largest workspace is killed.
func newSingleOwner(begin time.Time, cond conditions) limiterModel {
	singleBucket := newSingleBucket()
	ownerOf := func(workspace string) int {
		return int(xxhash.Sum64String(workspace) % fleetSize)
	}
	largestOwner := ownerOf("workspace0")
	return func(c callRecord) bool {
		owner := ownerOf(c.workspace)
		sinceFault := c.enteredAt.Sub(begin.Add(faultTime))
		isOwnerKilled := cond.killHolder && owner == largestOwner || cond.killZone && owner%3 == faultZone
		if sinceFault >= 0 && isOwnerKilled && sinceFault < ownerDowntime(cond) {
			return false
		}
		if sinceFault >= 0 && cond.isolateZone && sinceFault < cond.zoneDuration {
			callerInZone, ownerInZone := c.node%3 == faultZone, owner%3 == faultZone
			leaseExpired := sinceFault >= fence.LeaseDuration
			if callerInZone && (!ownerInZone || leaseExpired) || !callerInZone && ownerInZone && sinceFault < ownerFailoverTime {
				return false
			}
		}
		return singleBucket(c)
	}
}

// ownerDowntime returns how long a workspace has no owner after a kill.
func ownerDowntime(cond conditions) time.Duration {
	if cond.storeDown {
		return 120 * time.Second
	}
	return ownerFailoverTime
}

// BenchmarkMessages reports the calls to the store and the messages that
// package share sends each second without load, and the TakeRequests for each
// call under load.
func BenchmarkMessages(b *testing.B) {
	for _, nodeCount := range []int{6, 18, 36, 72} {
		for _, copies := range []int{1, 10} {
			b.Run(fmt.Sprintf("Nodes%d/Workspaces%d", nodeCount, 8*copies), func(b *testing.B) {
				for range b.N {
					measureMessages(b, nodeCount, copies)
				}
			})
		}
	}
}

func measureMessages(b *testing.B, nodeCount, copies int) {
	settings := defaultSettings()
	settings.nodeCount = nodeCount
	sim := newSimulation(12, settings)
	config := &gage.Config{Generation: 1}
	for i := range copies {
		for _, workspace := range comparedLimits().Workspaces {
			workspace.Name = fmt.Sprintf("%s-%d", workspace.Name, i)
			config.Workspaces = append(config.Workspaces, workspace)
		}
	}
	sim.applyConfig(config)
	sim.runFor(60 * time.Second)
	firstMinute := sim.tally
	sim.runFor(60 * time.Second)
	withoutLoad := sim.tally
	sim.generateLoad(config, 0.4)
	sim.runFor(20 * time.Second)
	b.ReportMetric(float64(firstMinute.storeCalls), "store-calls-first-minute")
	b.ReportMetric(float64(withoutLoad.storeCalls-firstMinute.storeCalls)/60, "store-calls/s")
	b.ReportMetric(float64(withoutLoad.confirmRequests-firstMinute.confirmRequests)/60, "confirms/s")
	b.ReportMetric(float64(sim.tally.takeRequests-withoutLoad.takeRequests)/float64(sim.tally.calls-withoutLoad.calls), "takes/call")
}
