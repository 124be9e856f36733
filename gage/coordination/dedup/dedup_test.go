package dedup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
)

// claimKey claims a key for the n-th request through the node on a VM.
func (sim *simulation) claimKey(vm string, n int, key string) gage.Claim {
	return sim.nodes[vm].claimer.Claim(context.Background(), sim.now, call(n, key))
}

// settleFirst settles request 1, which has key a, through vm-4.
func (sim *simulation) settleFirst(claim gage.Claim, r gage.Result) {
	sim.nodes["vm-4"].claimer.Settle(context.Background(), sim.now, call(1, "a"), claim, r)
}

// replace restarts the process that holds slot, then lets vm take the slot over
// and waits until the takeover is complete.
func (sim *simulation) replace(slot int, vm string) {
	tenures := sim.slots[slot]
	sim.startProcess(tenures[len(tenures)-1].holder.VM)
	sim.startTakeover(slot, vm)
	sim.now = sim.now.Add(takeoverDelay)
	sim.copyAll()
}

func isGranted(claim gage.Claim) bool {
	return claim.Outcome == gage.OutcomeNotRun && claim.Reason == gage.ReasonNone
}

func TestDuplicateReturnsStoredAnswer(t *testing.T) {
	sim := newSimulation()
	claim := sim.claimKey("vm-4", 1, "a")
	assert.Assert(t, isGranted(claim))
	duplicateWhileRunning := sim.claimKey("vm-3", 2, "a")
	assert.Equal(t, duplicateWhileRunning.Outcome, gage.OutcomeUnknown)
	assert.Equal(t, duplicateWhileRunning.Reason, gage.ReasonDuplicate)

	answer := gage.Result{Outcome: gage.OutcomeRan, Status: 201, Body: []byte("certificate 7")}
	sim.settleFirst(claim, answer)
	duplicate := sim.claimKey("vm-3", 3, "a")
	assert.Equal(t, duplicate.Outcome, gage.OutcomeRan)
	assert.DeepEqual(t, duplicate.Answer, answer)
}

func TestNotRunReleasesKey(t *testing.T) {
	sim := newSimulation()
	claim := sim.claimKey("vm-4", 1, "a")
	sim.settleFirst(claim, gage.Result{Outcome: gage.OutcomeNotRun})
	assert.Assert(t, isGranted(sim.claimKey("vm-3", 2, "a")))
}

func TestWorkspacesDoNotShareKeys(t *testing.T) {
	sim := newSimulation()
	firstCall, secondCall := call(1, "a"), call(2, "a")
	secondCall.Workspace = "otra"
	claimer := sim.nodes["vm-3"].claimer
	assert.Assert(t, isGranted(claimer.Claim(context.Background(), sim.now, firstCall)))
	assert.Assert(t, isGranted(claimer.Claim(context.Background(), sim.now, secondCall)))
}

func TestNewHomeCopiesOutcomes(t *testing.T) {
	sim := newSimulation()
	claim := sim.claimKey("vm-4", 1, "a")
	sim.settleFirst(claim, gage.Result{Outcome: gage.OutcomeRan, Status: 200})
	sim.claimKey("vm-4", 2, "b")
	sim.nodes["vm-0"].keeper.Flush(context.Background())
	sim.replace(0, "vm-3")
	assert.Equal(t, sim.claimKey("vm-4", 3, "a").Outcome, gage.OutcomeRan)
	assert.Equal(t, sim.claimKey("vm-4", 4, "b").Outcome, gage.OutcomeUnknown)
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 5, "c")))
}

func TestClaimSurvivesReplacingEachSlot(t *testing.T) {
	sim := newSimulation()
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 1, "a")))
	sim.replace(0, "vm-3")
	sim.replace(1, "vm-0")
	sim.replace(2, "vm-1")
	sim.replace(0, "vm-2")
	duplicate := sim.claimKey("vm-4", 2, "a")
	assert.Equal(t, duplicate.Reason, gage.ReasonDuplicate)
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 3, "b")))
}

func TestNewHomeCopiesClaimFromEitherWitness(t *testing.T) {
	for slot := 1; slot < gage.MaxSlotsPerShard; slot++ {
		sim := newSimulation()
		sim.chooseOutcome = func(_ *node, address string) deliveryOutcome {
			if address == fmt.Sprint("vm-", slot) {
				return outcomeLost
			}
			return outcomeDelivered
		}
		assert.Assert(t, isGranted(sim.claimKey("vm-4", 1, "a")))
		sim.chooseOutcome = nil
		sim.replace(0, "vm-3")
		assert.Equal(t, sim.claimKey("vm-4", 2, "a").Reason, gage.ReasonDuplicate)
		assert.Assert(t, isGranted(sim.claimKey("vm-4", 3, "b")))
	}
}

func TestOneWitnessIsEnough(t *testing.T) {
	for slot := 1; slot < gage.MaxSlotsPerShard; slot++ {
		sim := newSimulation()
		sim.startProcess(fmt.Sprint("vm-", slot))
		assert.Assert(t, isGranted(sim.claimKey("vm-4", 1, "a")))
		sim.replace(0, "vm-3")
		duplicate := sim.claimKey("vm-4", 2, "a")
		assert.Equal(t, duplicate.Outcome, gage.OutcomeUnknown)
	}
}

func TestRefusalWithoutWitnessReleasesKey(t *testing.T) {
	sim := newSimulation()
	sim.chooseOutcome = func(from *node, _ string) deliveryOutcome {
		if from.self.VM == "vm-0" {
			return outcomeLost
		}
		return outcomeDelivered
	}
	refused := sim.claimKey("vm-4", 1, "a")
	assert.Equal(t, refused.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, refused.Reason, gage.ReasonPeerFailed)
	sim.chooseOutcome = nil
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 2, "a")))
}

func TestUnreachableHomeRefusesClaim(t *testing.T) {
	sim := newSimulation()
	sim.chooseOutcome = func(*node, string) deliveryOutcome { return outcomeNotSent }
	refused := sim.claimKey("vm-4", 1, "a")
	assert.Equal(t, refused.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, refused.Reason, gage.ReasonPeerFailed)
}

func TestLostClaimReplyIsRetried(t *testing.T) {
	sim := newSimulation()
	outcomes := []deliveryOutcome{outcomeAnswerLost}
	sim.chooseOutcome = func(from *node, _ string) deliveryOutcome {
		if from.self.VM != "vm-4" || len(outcomes) == 0 {
			return outcomeDelivered
		}
		outcome := outcomes[0]
		outcomes = outcomes[1:]
		return outcome
	}
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 1, "a")))

	outcomes = []deliveryOutcome{outcomeAnswerLost, outcomeAnswerLost}
	unanswered := sim.claimKey("vm-4", 2, "b")
	assert.Equal(t, unanswered.Outcome, gage.OutcomeUnknown)
	assert.Assert(t, isGranted(sim.claimKey("vm-3", 3, "b")), "the claim of a call without a reply was not released")
}

func TestKeyIsUnknownUntilRetentionEndsAfterLosingHomeAndWitness(t *testing.T) {
	sim := newSimulation()
	sim.startProcess("vm-2")
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 1, "a")))
	sim.replace(1, "vm-4")
	sim.startProcess("vm-1")
	sim.startProcess("vm-4")
	sim.startTakeover(1, "vm-3")
	sim.replace(0, "vm-1")
	unknown := sim.claimKey("vm-3", 2, "a")
	assert.Equal(t, unknown.Outcome, gage.OutcomeUnknown)
	assert.Equal(t, unknown.Reason, gage.ReasonDuplicateUnknown)
	sim.now = sim.now.Add(12 * time.Minute)
	sim.copyAll()
	assert.Assert(t, isGranted(sim.claimKey("vm-3", 3, "a")))
}

// A home is suspended after it inserted a claim and before it sent the claim to a
// witness. Meanwhile another home takes over.
func TestSuspendedHomeCannotGrantAfterTakeover(t *testing.T) {
	sim := newSimulation()
	isSuspended := false
	sim.chooseOutcome = func(from *node, _ string) deliveryOutcome {
		if from.self.VM == "vm-0" && !isSuspended {
			isSuspended = true
			sim.startTakeover(0, "vm-3")
			sim.now = sim.now.Add(takeoverDelay)
			sim.copyAll()
		}
		return outcomeDelivered
	}
	lateClaim := sim.claimKey("vm-4", 1, "a")
	assert.Assert(t, isSuspended)
	assert.Assert(t, !isGranted(lateClaim))
	assert.Assert(t, isGranted(sim.claimKey("vm-4", 2, "a")))
}
