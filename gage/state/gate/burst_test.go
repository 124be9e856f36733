package gate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
)

// TestImportantCallsOutlastABurst has one target with 80 runs a second, half of
// which lodgings need, beside lookups for two and a half times what it bears.
// Now and then more lodgings come within a tenth of a second than it can begin.
func TestImportantCallsOutlastABurst(t *testing.T) {
	const few, seeds, length = 8, 40, 15
	sentAll, refused, lookups := 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		c, s, target := single(seed, gate.Options{
			CapacityHint: few, MaxConcurrency: few, ColdStart: length * time.Second, ColdConcurrency: few,
		})
		s.work = 100 * time.Millisecond
		target.slots = func() int { return few }
		lodge := []*traffic{
			c.offerTo(s, "north", gage.ImportanceHigh, perSecond(20)),
			c.offerTo(s, "south", gage.ImportanceHigh, perSecond(20)),
		}
		lookup := []*traffic{
			c.offerTo(s, "north", gage.ImportanceLow, perSecond(100)),
			c.offerTo(s, "west", gage.ImportanceLow, perSecond(100)),
		}
		c.runUntil(epoch.Add((length + 2) * time.Second))
		sentAll += rate(lodge, sent, 1, length)
		refused += rate(lodge, failed, 1, length)
		lookups += rate(lookup, good, 1, length) / seeds
	}
	t.Logf("of %.0f lodgings a second %.4f were refused, and %.1f lookups served", sentAll/seeds, refused/seeds, lookups)
	assert.Equal(t, refused, 0.0)
	assert.Assert(t, lookups >= 30, "the rest of the capacity goes to lookups")
}
