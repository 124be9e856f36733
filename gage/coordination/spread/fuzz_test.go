package spread_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "60"} {
		isSet := false
		flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
		if !isSet {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// step is one event of a fuzz run. Number selects its node, zone, key, delay or
// number of operators.
type step struct {
	Kind   string
	Number int
	Pause  time.Duration
}

var stepKinds = []string{
	"Apply", "Apply", "Apply", "Race", "StoreDown", "StoreUp", "LoseAnswers", "Slow", "CutVM", "CutZone",
	"Heal", "Freeze", "Thaw", "Restart", "Loss", "Share",
}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(stepKinds).Draw(rt, "Kind"),
			Number: rapid.IntRange(0, 8).Draw(rt, "Number"),
			Pause:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "PauseMillis")) * time.Millisecond,
		}
	}), 5, 40).Draw(rt, "Steps")
}

// TestFaultsInAnyOrder combines faults of the store, the network and the nodes
// with concurrent applies. It checks that no node regards an outdated view as
// current, that all nodes converge after the faults, and that each apply reports
// its actual outcome.
func TestFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		size := rapid.IntRange(2, 9).Draw(rt, "Size")
		seed := rapid.Uint64().Draw(rt, "Seed")
		var violations []string
		synctest.Test(t, func(_ *testing.T) { violations = runSteps(steps, size, seed) })
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

func runSteps(steps []step, size int, seed uint64) []string {
	f := newFleet(size, 3, seed)
	originalExit := invar.Exit
	invar.Exit = func(int) { f.addViolation("invar.Check failed") }
	o := &operators{fleet: f}
	for _, s := range steps {
		f.runStep(o, s)
		for remaining := s.Pause; remaining > 0; remaining -= 100 * time.Millisecond {
			time.Sleep(min(remaining, 100*time.Millisecond))
			f.checkViews()
		}
	}
	f.clearFaults()
	o.apply(1)
	time.Sleep(convergenceTimeout)
	f.checkConverged()
	f.stop()
	o.checkOutcomes()
	invar.Exit = originalExit
	return f.violations
}

// convergenceTimeout is the time within which all nodes must hold the newest
// configuration after the faults are cleared, and all applies must have ended.
const convergenceTimeout = 30 * time.Second

// runStep applies one step to the fleet.
func (f *testFleet) runStep(o *operators, s step) {
	n := f.nodes[s.Number%len(f.nodes)]
	switch s.Kind {
	case "Apply":
		o.apply(1)
	case "Race":
		o.apply(2 + s.Number%2)
	case "StoreDown":
		f.store.update(func(st *fakeStore) { st.down = true })
	case "StoreUp":
		f.store.update(func(st *fakeStore) { st.down, st.answerLossRate, st.delay = false, 0, 0 })
	case "LoseAnswers":
		f.store.update(func(st *fakeStore) { st.answerLossRate = 0.5 })
	case "Slow":
		f.store.update(func(st *fakeStore) { st.delay = time.Duration(s.Number) * 300 * time.Millisecond })
	case "CutVM":
		f.net.update(func(net *fakeNetwork) { net.isolated = map[string]bool{n.member.VM: true} })
	case "CutZone":
		f.net.update(func(net *fakeNetwork) { net.isolated = map[string]bool{n.member.Zone: true} })
	case "Heal":
		f.net.update(func(net *fakeNetwork) { net.isolated, net.lossRate = nil, 0 })
	case "Loss":
		f.net.update(func(net *fakeNetwork) { net.lossRate, net.duplicateRate = 0.3, 0.3 })
	case "Freeze":
		n.freeze()
	case "Thaw":
		n.thaw()
	case "Restart":
		n.thaw()
		n.halt()
		n.start()
	case "Share":
		f.store.write(fmt.Sprintf("%s%02d", gage.StoreSharePrefix, s.Number), []byte{byte(s.Number)})
	}
}

// clearFaults ends all faults of the network, the store and the nodes.
func (f *testFleet) clearFaults() {
	f.net.update(func(net *fakeNetwork) { net.isolated, net.lossRate, net.duplicateRate = nil, 0, 0 })
	f.store.update(func(st *fakeStore) { st.down, st.answerLossRate, st.delay = false, 0, 0 })
	for _, n := range f.nodes {
		n.thaw()
	}
}

// checkViews compares the view of each node with the history of the store: no node
// may claim to be more current than it is.
func (f *testFleet) checkViews() {
	synctest.Wait()
	now := time.Now()
	for _, n := range f.nodes {
		s := n.current()
		confirmedAt, verdict := s.ConfirmedAt(), s.Verdict(now)
		held, _ := s.Latest(gage.StoreConfigKey)
		if minRevision := f.store.configRevisionBefore(confirmedAt); held.Revision < minRevision {
			f.addViolation("%s holds revision %d, but revision %d was in force at its ConfirmedAt", n.member.VM, held.Revision, minRevision)
		}
		boundStart := now.Add(-fresh.IsolationBound)
		if minRevision := f.store.configRevisionBefore(boundStart); verdict == fresh.Confirmed && held.Revision < minRevision {
			f.addViolation("%s is %s with revision %d, but revision %d is older than fresh.IsolationBound", n.member.VM, verdict, held.Revision, minRevision)
		}
		if held.Revision == 0 && verdict.Serves() {
			f.addViolation("%s serves without a configuration", n.member.VM)
		}
	}
}

// checkConverged checks that all nodes hold the newest configuration and regard it
// as confirmed.
func (f *testFleet) checkConverged() {
	newest := f.store.configRevisionBefore(time.Now())
	for _, n := range f.nodes {
		if n.configRevision() != newest {
			f.addViolation("%s holds revision %d instead of %d after convergenceTimeout", n.member.VM, n.configRevision(), newest)
		}
		if verdict := n.current().Verdict(time.Now()); verdict != fresh.Confirmed {
			f.addViolation("%s has verdict %s after convergenceTimeout", n.member.VM, verdict)
		}
	}
}

// operators apply files and compare the results with the history of the store.
type operators struct {
	fleet        *testFleet
	attemptCount int
	attempts     []*applyAttempt
}

type applyAttempt struct {
	id             string
	baseGeneration int64
	result         apply.Result
}

// apply starts count concurrent applies on the same base generation. All of them
// send the same file under different IDs.
func (o *operators) apply(count int) {
	f := o.fleet
	baseGeneration := f.store.configRevisionBefore(time.Now().Add(time.Nanosecond))
	for range count {
		o.attemptCount++
		a := &applyAttempt{id: fmt.Sprintf("id-%d", o.attemptCount), baseGeneration: baseGeneration, result: apply.Result{Outcome: apply.Unknown}}
		o.attempts = append(o.attempts, a)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout-5*time.Second)
			defer cancel()
			// Concurrent applies may send identical files, so all send this one.
			a.result = apply.Run(ctx, &storeClient{fakeStore: f.store}, []byte("Deployment = \"a\"\n"), baseGeneration, a.id)
		}()
	}
}

// checkOutcomes checks that at most one file replaced each generation and that
// each result matches the history. All applies must have ended. The generation of
// a file that was never in force is 0.
func (o *operators) checkOutcomes() {
	o.fleet.store.mu.Lock()
	defer o.fleet.store.mu.Unlock()
	generations := make(map[string]int64)
	successors := make(map[int64]int)
	for _, write := range o.fleet.store.history {
		if stamps, _ := apply.SplitStamps(write.entry.Value); len(stamps) > 0 {
			generations[stamps[0].ID] = write.entry.Revision
			successors[stamps[0].Base]++
		}
	}
	for base, count := range successors {
		if count != 1 {
			o.fleet.addViolation("%d files replaced generation %d", count, base)
		}
	}
	for _, a := range o.attempts {
		appliedGeneration := generations[a.id]
		switch a.result.Outcome {
		case apply.Applied, apply.Superseded:
			if a.result.Generation != appliedGeneration {
				o.fleet.addViolation("apply %s returned %+v, but its file was generation %d", a.id, a.result, appliedGeneration)
			}
		case apply.Conflict:
			if appliedGeneration != 0 {
				o.fleet.addViolation("apply %s returned a conflict, but its file was generation %d", a.id, appliedGeneration)
			}
		}
	}
}

func TestApplyResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, 5)
		defer f.stop()
		f.store.update(func(s *fakeStore) { s.answerLossRate = 0.7 })
		operator := &storeClient{fakeStore: f.store}
		first := apply.Run(t.Context(), operator, []byte("a"), 0, "one")
		assert.Equal(t, first.Outcome, apply.Applied)
		second := apply.Run(t.Context(), operator, []byte("a"), first.Generation, "two")
		assert.Equal(t, second.Outcome, apply.Applied)
		again := apply.Run(t.Context(), operator, []byte("a"), 0, "one")
		assert.Equal(t, again.Outcome, apply.Superseded)
		assert.Equal(t, again.Generation, first.Generation)
		rival := apply.Run(t.Context(), operator, []byte("a"), first.Generation, "three")
		assert.Equal(t, rival.Outcome, apply.Conflict)
		assert.Equal(t, rival.Current, second.Generation)
	})
}
