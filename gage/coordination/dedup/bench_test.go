package dedup_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
)

// A claim sends one message to the home and one to a witness, and so does a
// settlement.
func TestMessagesOfACall(t *testing.T) {
	sim := newSimulation()
	claim := sim.claimKey("vm-4", 1, "a")
	assert.Equal(t, sim.messages, 2)
	sim.settleFirst(claim, gage.Result{Outcome: gage.OutcomeRan, Status: 200})
	sim.nodes["vm-0"].keeper.Flush(t.Context())
	assert.Equal(t, sim.messages, 4)
}

// BenchmarkClaim measures a claim at the entry node, the home and one witness,
// without a network.
func BenchmarkClaim(b *testing.B) {
	sim := newSimulation()
	entry := sim.nodes["vm-4"].claimer
	ctx := b.Context()
	b.ReportAllocs()
	for i := range b.N {
		c := call(i, fmt.Sprint(i))
		claim := entry.Claim(ctx, sim.now, c)
		if !isGranted(claim) {
			b.Fatal(claim.Reason)
		}
	}
}

func BenchmarkDuplicateClaim(b *testing.B) {
	sim := newSimulation()
	sim.claimKey("vm-4", 0, "a")
	entry := sim.nodes["vm-4"].claimer
	ctx := b.Context()
	b.ReportAllocs()
	for i := range b.N {
		entry.Claim(ctx, sim.now, call(i+1, "a"))
	}
}
