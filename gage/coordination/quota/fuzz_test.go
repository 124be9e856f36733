package quota_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
)

// The fixed seed makes every run check the same cases.
const (
	rapidSeed   = "20301"
	rapidChecks = "12"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// workspaces returns a configuration with one workspace for each pair of limits. A
// pair is the rate followed by the burst.
func workspaces(generation int64, limits ...float64) *gage.Config {
	config := &gage.Config{Generation: generation}
	for i := 0; i+1 < len(limits); i += 2 {
		config.Workspaces = append(config.Workspaces, gage.Workspace{
			Name: fmt.Sprintf("workspace%d", i/2), Rate: limits[i], Burst: limits[i+1],
		})
	}
	return config
}

// generateLoad starts calls for each workspace at factor times its rate. Half
// of them enter at one node, the others at random nodes.
func (sim *simulation) generateLoad(config *gage.Config, factor float64) {
	for _, workspace := range config.Workspaces {
		sim.generateCalls(workspace.Name, factor*workspace.Rate, func() *node {
			if sim.chance(0.5) {
				return sim.nodes[0]
			}
			return sim.nodes[sim.random.IntN(len(sim.nodes))]
		})
	}
}

// generateCalls starts a Poisson process of calls. If the settings include slow
// messages, 2% of the arrivals are bursts of 20 calls.
func (sim *simulation) generateCalls(workspace string, rate float64, pick func() *node) {
	interval := time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second))
	sim.schedule(interval, func() {
		count := 1
		if sim.settings.slowChance > 0 && sim.chance(0.02) {
			count = 20
		}
		for range count {
			if n := pick(); n.isRunning {
				n.enterCall(workspace)
			}
		}
		sim.generateCalls(workspace, rate, pick)
	})
}

// fault is a fault to inject.
type fault struct {
	// kind is one of faultKinds.
	kind string
	// node modulo the number of nodes is the index of the affected node. For
	// Apply, node selects the limit set instead.
	node int
	// pause is the time until the next fault is injected.
	pause time.Duration
	// duration is how long the fault lasts.
	duration time.Duration
}

// The kinds of faults. Kill ends the process at once, and Leave ends it after a
// graceful stop. Both start a new process after the duration. OneWay drops the messages from
// the node to the other nodes. Quarrel cuts the links in both directions between
// the node and the store, and between the node and the next node. Apply applies
// another configuration.
var faultKinds = []string{"Kill", "Freeze", "Isolate", "IsolateFromStore", "IsolateZone", "OneWay", "Quarrel", "StoreDown", "Leave", "Apply"}

func drawFaults(t *rapid.T) []fault {
	oneFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:     rapid.SampledFrom(faultKinds).Draw(t, "Kind"),
			node:     rapid.IntRange(0, 6).Draw(t, "Node"),
			pause:    time.Duration(rapid.IntRange(0, 5000).Draw(t, "WaitMillis")) * time.Millisecond,
			duration: time.Duration(rapid.IntRange(100, 12000).Draw(t, "LastMillis")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(oneFault, 1, 14).Draw(t, "Faults")
}

func (sim *simulation) injectFault(f fault) {
	n := sim.nodes[f.node%len(sim.nodes)]
	store := len(sim.nodes)
	choice := f.node
	f.node = n.index
	switch f.kind {
	case "Kill":
		if n.isRunning {
			n.kill()
			sim.schedule(f.duration, n.boot)
		}
	case "Freeze":
		n.frozenUntil = sim.now.Add(f.duration)
	case "Isolate":
		sim.cutLinks(f.duration, func(a, b int) bool { return (a == f.node) != (b == f.node) && a != store && b != store })
	case "IsolateFromStore":
		sim.cutLinks(f.duration, func(a, b int) bool { return a == f.node && b == store || a == store && b == f.node })
	case "IsolateZone":
		sim.cutLinks(f.duration, func(a, b int) bool { return (a%3 == f.node%3 && a != store) != (b%3 == f.node%3 && b != store) })
	case "OneWay":
		sim.cutLinks(f.duration, func(a, b int) bool { return a == f.node && b != store })
	case "Quarrel":
		other := (f.node + 1) % len(sim.nodes)
		sim.cutLinks(f.duration, func(a, b int) bool { return a == f.node && (b == store || b == other) })
		sim.cutLinks(f.duration, func(a, b int) bool { return b == f.node && (a == store || a == other) })
	case "StoreDown":
		sim.store.isDown = true
		sim.schedule(f.duration, func() { sim.store.isDown = false })
	case "Leave":
		sim.stopGracefully(n, f.duration)
	case "Apply":
		sim.applyLimitSet(choice)
	}
}

// cutLinks drops the messages from a to b for the given duration, for all links
// that match. The index after the last node stands for the store.
func (sim *simulation) cutLinks(duration time.Duration, matches func(a, b int) bool) {
	for a := range sim.linkCut {
		for b := range sim.linkCut {
			if matches(a, b) {
				sim.linkCut[a][b] = true
				sim.schedule(duration, func() { sim.linkCut[a][b] = false })
			}
		}
	}
}

// stopGracefully makes a process hand over its slots, ends it 3 s later and
// starts a new one after the given downtime.
func (sim *simulation) stopGracefully(n *node, downtime time.Duration) {
	if !n.isRunning {
		return
	}
	process := n.process
	n.runKeeperStep(process, func(now time.Time) { n.keeper.Stop(now) })
	sim.schedule(3*time.Second, func() {
		if n.isRunning && n.process == process {
			n.kill()
			sim.schedule(downtime, n.boot)
		}
	})
}

// limitSets holds lists of limits, each to be passed to workspaces.
var limitSets = [][]float64{
	{20, 10, 5, 2, 40, 60, 3, 3},
	{20, 3, 5, 9, 10, 60, 3, 2},
	{60, 10, 5, 2, 40, 6, 9, 30},
	{20, 10, 5, 30},
	{2, 30, 5, 2, 80, 3, 3, 3},
	{20, 2, 5, 2, 40, 2, 3, 2},
	{20, 9, 5, 9, 40, 9, 3, 9},
	{40, 12, 20, 12, 80, 12, 3, 3},
	{40, 9, 20, 9, 80, 9, 3, 3},
	{20, 13, 5, 13, 40, 18, 3, 9},
}

// applyLimitSet applies a new configuration with one of limitSets.
func (sim *simulation) applyLimitSet(choice int) {
	limits := limitSets[choice%len(limitSets)]
	sim.applyConfig(workspaces(int64(len(sim.configs)+1), limits...))
}

// runTrial runs a fleet under load and injects the faults. It returns an error if an
// invariant is broken, or if a slot is not served 30 s after the end of all faults.
func runTrial(seed uint64, settings simulationSettings, faults []fault) error {
	sim := newSimulation(seed, settings)
	config := workspaces(1, limitSets[0]...)
	sim.applyConfig(config)
	sim.generateLoad(config, 2)
	sim.runFor(4 * time.Second)
	for _, f := range faults {
		sim.injectFault(f)
		sim.runFor(f.pause)
	}
	sim.runFor(15 * time.Second)
	sim.endFaults()
	sim.runFor(30 * time.Second)
	return errors.Join(sim.firstViolation(), sim.oracle.check(), sim.checkAllSlotsServed())
}

// endFaults ends all faults and boots the processes that are down. Messages may
// still be slow or duplicated.
func (sim *simulation) endFaults() {
	sim.store.isDown = false
	sim.cutLinks(0, func(int, int) bool { return true })
	sim.settings.lossChance, sim.settings.freezeChance, sim.settings.replyLossChance, sim.settings.gossipLossChance = 0, 0, 0, 0
	for _, n := range sim.nodes {
		if !n.isRunning {
			n.boot()
		}
	}
}

// checkAllSlotsServed returns an error if there are slots that no process may
// serve.
func (sim *simulation) checkAllSlotsServed() error {
	unserved := 0
	var lastRecord []byte
	for shard := range gage.ShardCount {
		for slot := range gage.MaxSlotsPerShard {
			isServed := false
			for _, n := range sim.nodes {
				_, ok := n.HeldEpoch(shard, slot, n.localTime())
				isServed = isServed || ok
			}
			if !isServed {
				unserved++
				lastRecord = sim.store.entries[share.Key(shard)].Value
			}
		}
	}
	if unserved == 0 {
		return nil
	}
	return fmt.Errorf("%d slots are not served after all faults ended; share record of the last one: %s", unserved, lastRecord)
}

func (sim *simulation) firstViolation() error {
	if len(sim.violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant violations, the first: %s", len(sim.violations), sim.violations[0])
}

// drawSettings draws random probabilities of faults and a random number of nodes.
func drawSettings(t *rapid.T) simulationSettings {
	settings := defaultSettings()
	settings.lossChance = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "Loss")
	settings.duplicateChance = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "Repeat")
	settings.slowChance = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "Slow")
	settings.freezeChance = rapid.SampledFrom([]float64{0, 0.0002}).Draw(t, "Freeze")
	settings.gossipLossChance = rapid.SampledFrom([]float64{0, 0.95}).Draw(t, "Deaf")
	settings.replyLossChance = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "LoseAnswer")
	settings.nodeCount = rapid.SampledFrom([]int{2, 3, 5, 7}).Draw(t, "Fleet")
	return settings
}

// Under random faults, no workspace exceeds its rate and burst, and no two
// processes may serve the same slot.
func TestNeverBeyondRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		seed := rapid.Uint64().Draw(t, "Seed")
		assert.NilError(t, runTrial(seed, settings, drawFaults(t)))
	})
}

// The three TestOracleDetects tests each turn one safety mechanism off and
// check that the simulation then finds a violation.

// assertViolationFound runs one trial for each of brokenFleetSeedCount seeds and
// requires that every trial fails.
func assertViolationFound(t *testing.T, modify func(settings *simulationSettings), faults []fault) {
	t.Helper()
	failed := 0
	for seed := range uint64(brokenFleetSeedCount) {
		settings := defaultSettings()
		modify(&settings)
		if err := runTrial(seed, settings, faults); err != nil {
			t.Logf("seed %d: %v", seed, err)
			failed++
		}
	}
	assert.Equal(t, failed, brokenFleetSeedCount)
}

// brokenFleetSeedCount is the number of trials, each with its own seed, of a fleet in
// which a mechanism is turned off.
const brokenFleetSeedCount = 3

// isolationFaults isolates one node after the other from all other nodes.
func isolationFaults() []fault {
	var faults []fault
	for i := range 8 {
		faults = append(faults, fault{kind: "Isolate", node: i % 5, pause: 9 * time.Second, duration: 8 * time.Second})
	}
	return faults
}

func TestOracleDetectsMissingTakeoverWait(t *testing.T) {
	assertViolationFound(t, func(settings *simulationSettings) { settings.takeoverWait = 0 }, isolationFaults())
}

func TestOracleDetectsForgottenVersions(t *testing.T) {
	var faults []fault
	for i := range 4 {
		faults = append(faults, fault{kind: "Quarrel", node: i, pause: 18 * time.Second, duration: 16 * time.Second})
	}
	assertViolationFound(t, func(settings *simulationSettings) { settings.forgetVersions, settings.gossipLossChance = true, 0.99 }, faults)
}

func TestOracleDetectsRaiseBeforeAdoption(t *testing.T) {
	var faults []fault
	for i := range 8 {
		faults = append(faults, fault{kind: "Apply", node: 7 + i%2, pause: 9 * time.Second, duration: time.Second})
	}
	assertViolationFound(t, func(settings *simulationSettings) {
		settings.assumeAdopted, settings.gossipLossChance, settings.maxConfigDelay = true, 0.99, 8*time.Second
	}, faults)
}

// Without faults, holders are always reachable, so calls at 70% of the rates are
// refused only because they are over the rate.
func TestFleetWithoutFaultsServesRate(t *testing.T) {
	sim := newSimulation(1, defaultSettings())
	config := workspaces(1, limitSets[0]...)
	sim.applyConfig(config)
	sim.runFor(4 * time.Second)
	loadEnded := false
	for _, workspace := range config.Workspaces {
		sim.generateCalls(workspace.Name, 0.7*workspace.Rate, func() *node {
			if loadEnded {
				return &node{}
			}
			return sim.nodes[sim.random.IntN(len(sim.nodes))]
		})
	}
	sim.runFor(60 * time.Second)
	// Wait until the calls in progress are decided, so that the counts add up.
	loadEnded = true
	sim.runFor(time.Second)
	assert.Equal(t, len(sim.violations), 0)
	assert.NilError(t, sim.oracle.check())
	assert.Equal(t, sim.tally.unavailable, 0)
	assert.Equal(t, sim.tally.granted+sim.tally.overRate+sim.tally.expired, sim.tally.calls)
	t.Logf("%+v", sim.tally)
}
