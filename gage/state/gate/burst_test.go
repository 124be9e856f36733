package gate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
)

// TestBurstOfImportantCallsIsServed sends a target that serves 80 calls a second
// 40 important calls and 200 unimportant calls a second. At times more important
// calls arrive within 100 ms than the target can start. They must wait for the
// burst to drain rather than be refused for overload, while the unimportant calls
// are shed.
func TestBurstOfImportantCallsIsServed(t *testing.T) {
	const targetSlots, seeds, seconds = 8, 40, 15
	sentImportant, failedImportant, servedUnimportant := 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		sim, service, target := newSingleTarget(seed, gate.Options{
			CapacityHint: targetSlots, MaxConcurrency: targetSlots, ColdStart: seconds * time.Second, ColdConcurrency: targetSlots,
		})
		service.meanWork = 100 * time.Millisecond
		target.slots = func() int { return targetSlots }
		important := []*traffic{
			sim.addTrafficTo(service, "north", gage.ImportanceHigh, constantRate(20)),
			sim.addTrafficTo(service, "south", gage.ImportanceHigh, constantRate(20)),
		}
		unimportant := []*traffic{
			sim.addTrafficTo(service, "north", gage.ImportanceLow, constantRate(100)),
			sim.addTrafficTo(service, "west", gage.ImportanceLow, constantRate(100)),
		}
		sim.runUntil(epoch.Add((seconds + 2) * time.Second))
		sentImportant += meanRate(important, sent, 1, seconds)
		failedImportant += meanRate(important, failed, 1, seconds)
		servedUnimportant += meanRate(unimportant, succeeded, 1, seconds) / seeds
	}
	t.Logf("of %.0f important calls a second %.4f failed; %.1f unimportant calls a second were served", sentImportant/seeds, failedImportant/seeds, servedUnimportant)
	assert.Equal(t, failedImportant, 0.0)
	assert.Assert(t, servedUnimportant >= 30, "unimportant calls did not get the remaining capacity")
}
