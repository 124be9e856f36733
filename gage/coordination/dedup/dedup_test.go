package dedup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
)

// ask claims a key for the n-th request through the node on a VM.
func (w *world) ask(vm string, n int, key string) gage.Claim {
	return w.nodes[vm].claimer.Claim(context.Background(), w.now, call(n, key))
}

// settleA tells what became of the first request, for key a through vm-4.
func (w *world) settleA(claim gage.Claim, r gage.Result) {
	w.nodes["vm-4"].claimer.Settle(context.Background(), w.now, call(1, "a"), claim, r)
}

// replace kills the holder of a slot and gives the slot to another VM.
func (w *world) replace(slot int, vm string) {
	epochs := w.slots[slot]
	w.boot(epochs[len(epochs)-1].holder.VM)
	w.takeOver(slot, vm)
	w.now = w.now.Add(fence)
	w.tend()
}

func mayRun(claim gage.Claim) bool {
	return claim.Outcome == gage.OutcomeNotRun && claim.Reason == gage.ReasonNone
}

func TestRepeatGetsTheAnswer(t *testing.T) {
	w := newWorld()
	claim := w.ask("vm-4", 1, "a")
	assert.Assert(t, mayRun(claim))
	running := w.ask("vm-3", 2, "a")
	assert.Equal(t, running.Outcome, gage.OutcomeUnknown)
	assert.Equal(t, running.Reason, gage.ReasonDuplicate)

	answer := gage.Result{Outcome: gage.OutcomeRan, Status: 201, Body: []byte("certificate 7")}
	w.settleA(claim, answer)
	repeat := w.ask("vm-3", 3, "a")
	assert.Equal(t, repeat.Outcome, gage.OutcomeRan)
	assert.DeepEqual(t, repeat.Answer, answer)
}

func TestNotRunFreesTheKey(t *testing.T) {
	w := newWorld()
	claim := w.ask("vm-4", 1, "a")
	w.settleA(claim, gage.Result{Outcome: gage.OutcomeNotRun})
	assert.Assert(t, mayRun(w.ask("vm-3", 2, "a")))
}

func TestKeysOfOthersAreApart(t *testing.T) {
	w := newWorld()
	first, second := call(1, "a"), call(2, "a")
	second.Workspace = "otra"
	claimer := w.nodes["vm-3"].claimer
	assert.Assert(t, mayRun(claimer.Claim(context.Background(), w.now, first)))
	assert.Assert(t, mayRun(claimer.Claim(context.Background(), w.now, second)))
}

func TestNewHomeKnowsWhatRan(t *testing.T) {
	w := newWorld()
	claim := w.ask("vm-4", 1, "a")
	w.settleA(claim, gage.Result{Outcome: gage.OutcomeRan, Status: 200})
	w.ask("vm-4", 2, "b")
	w.nodes["vm-0"].keeper.Flush(context.Background())
	w.replace(0, "vm-3")
	assert.Equal(t, w.ask("vm-4", 3, "a").Outcome, gage.OutcomeRan)
	assert.Equal(t, w.ask("vm-4", 4, "b").Outcome, gage.OutcomeUnknown)
	assert.Assert(t, mayRun(w.ask("vm-4", 5, "c")))
}

func TestEachSlotReplacedInTurnKeepsTheKeys(t *testing.T) {
	w := newWorld()
	assert.Assert(t, mayRun(w.ask("vm-4", 1, "a")))
	w.replace(0, "vm-3")
	w.replace(1, "vm-0")
	w.replace(2, "vm-1")
	w.replace(0, "vm-2")
	repeat := w.ask("vm-4", 2, "a")
	assert.Equal(t, repeat.Reason, gage.ReasonDuplicate)
	assert.Assert(t, mayRun(w.ask("vm-4", 3, "b")))
}

func TestEitherWitnessHandsTheKeyOn(t *testing.T) {
	for slot := 1; slot < gage.MaxSlotsPerShard; slot++ {
		w := newWorld()
		w.fate = func(_ *node, address string) fate {
			if address == fmt.Sprint("vm-", slot) {
				return fateLost
			}
			return fateDelivered
		}
		assert.Assert(t, mayRun(w.ask("vm-4", 1, "a")))
		w.fate = nil
		w.replace(0, "vm-3")
		assert.Equal(t, w.ask("vm-4", 2, "a").Reason, gage.ReasonDuplicate)
		assert.Assert(t, mayRun(w.ask("vm-4", 3, "b")))
	}
}

func TestOneWitnessIsEnough(t *testing.T) {
	for slot := 1; slot < gage.MaxSlotsPerShard; slot++ {
		w := newWorld()
		w.boot(fmt.Sprint("vm-", slot))
		assert.Assert(t, mayRun(w.ask("vm-4", 1, "a")))
		w.replace(0, "vm-3")
		repeat := w.ask("vm-4", 2, "a")
		assert.Equal(t, repeat.Outcome, gage.OutcomeUnknown)
	}
}

func TestNoWitnessRefusesWithoutHoldingTheKey(t *testing.T) {
	w := newWorld()
	w.fate = func(from *node, _ string) fate {
		if from.self.VM == "vm-0" {
			return fateLost
		}
		return fateDelivered
	}
	refused := w.ask("vm-4", 1, "a")
	assert.Equal(t, refused.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, refused.Reason, gage.ReasonPeerFailed)
	w.fate = nil
	assert.Assert(t, mayRun(w.ask("vm-4", 2, "a")))
}

func TestUnreachableHomeRefuses(t *testing.T) {
	w := newWorld()
	w.fate = func(*node, string) fate { return fateNotSent }
	refused := w.ask("vm-4", 1, "a")
	assert.Equal(t, refused.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, refused.Reason, gage.ReasonPeerFailed)
}

func TestLostClaimAnswerIsAskedAgain(t *testing.T) {
	w := newWorld()
	fates := []fate{fateAnswerLost}
	w.fate = func(from *node, _ string) fate {
		if from.self.VM != "vm-4" || len(fates) == 0 {
			return fateDelivered
		}
		next := fates[0]
		fates = fates[1:]
		return next
	}
	assert.Assert(t, mayRun(w.ask("vm-4", 1, "a")))

	fates = []fate{fateAnswerLost, fateAnswerLost}
	lost := w.ask("vm-4", 2, "b")
	assert.Equal(t, lost.Outcome, gage.OutcomeUnknown)
	assert.Assert(t, mayRun(w.ask("vm-3", 3, "b")), "the call gave the claim back")
}

func TestHomeAndWitnessLostIsUnknownUntilTheWindowEnds(t *testing.T) {
	w := newWorld()
	w.boot("vm-2")
	assert.Assert(t, mayRun(w.ask("vm-4", 1, "a")))
	w.replace(1, "vm-4")
	w.boot("vm-1")
	w.boot("vm-4")
	w.takeOver(1, "vm-3")
	w.replace(0, "vm-1")
	unknown := w.ask("vm-3", 2, "a")
	assert.Equal(t, unknown.Outcome, gage.OutcomeUnknown)
	assert.Equal(t, unknown.Reason, gage.ReasonDuplicateUnknown)
	w.now = w.now.Add(12 * time.Minute)
	w.tend()
	assert.Assert(t, mayRun(w.ask("vm-3", 3, "a")))
}

// A home is frozen after it took a claim and before its witnesses hear of it.
// Meanwhile another home takes over.
func TestFrozenHomeThatThaws(t *testing.T) {
	w := newWorld()
	frozen := false
	w.fate = func(from *node, _ string) fate {
		if from.self.VM == "vm-0" && !frozen {
			frozen = true
			w.takeOver(0, "vm-3")
			w.now = w.now.Add(fence)
			w.tend()
		}
		return fateDelivered
	}
	late := w.ask("vm-4", 1, "a")
	assert.Assert(t, frozen)
	assert.Assert(t, !mayRun(late))
	assert.Assert(t, mayRun(w.ask("vm-4", 2, "a")))
}
