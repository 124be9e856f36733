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
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// step is one event of a fuzz run. Number picks its node, zone or operator.
type step struct {
	Kind   string
	Number int
	Pause  time.Duration
}

var kinds = []string{
	"Apply", "Apply", "Apply", "Race", "StoreDown", "StoreUp", "LoseAnswers", "Slow", "CutVM", "CutZone",
	"Heal", "Freeze", "Thaw", "Restart", "Loss", "Share",
}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "Kind"),
			Number: rapid.IntRange(0, 8).Draw(rt, "Number"),
			Pause:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "PauseMillis")) * time.Millisecond,
		}
	}), 5, 40).Draw(rt, "Steps")
}

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
	w := build(size, 3, seed)
	exit := invar.Exit
	invar.Exit = func(int) { w.fail("an invariant broke") }
	o := &operators{world: w}
	for _, s := range steps {
		w.act(o, s)
		for left := s.Pause; left > 0; left -= 100 * time.Millisecond {
			time.Sleep(min(left, 100*time.Millisecond))
			w.inspect()
		}
	}
	w.heal()
	o.apply(1)
	time.Sleep(convergence)
	w.converged()
	w.stop()
	o.judge()
	invar.Exit = exit
	return w.violations
}

// convergence is the time in which a healed fleet agrees and operators end.
const convergence = 30 * time.Second

func (w *world) act(o *operators, s step) {
	n := w.nodes[s.Number%len(w.nodes)]
	switch s.Kind {
	case "Apply":
		o.apply(1)
	case "Race":
		o.apply(2 + s.Number%2)
	case "StoreDown":
		w.store.set(func(st *store) { st.down = true })
	case "StoreUp":
		w.store.set(func(st *store) { st.down, st.lose, st.delay = false, 0, 0 })
	case "LoseAnswers":
		w.store.set(func(st *store) { st.lose = 0.5 })
	case "Slow":
		w.store.set(func(st *store) { st.delay = time.Duration(s.Number) * 300 * time.Millisecond })
	case "CutVM":
		w.net.set(func(net *network) { net.cut = map[string]bool{n.member.VM: true} })
	case "CutZone":
		w.net.set(func(net *network) { net.cut = map[string]bool{n.member.Zone: true} })
	case "Heal":
		w.net.set(func(net *network) { net.cut, net.loss = nil, 0 })
	case "Loss":
		w.net.set(func(net *network) { net.loss, net.repeat = 0.3, 0.3 })
	case "Freeze":
		n.freeze()
	case "Thaw":
		n.thaw()
	case "Restart":
		n.thaw()
		n.halt()
		n.start()
	case "Share":
		w.store.write(fmt.Sprintf("%s%02d", gage.StoreSharePrefix, s.Number), []byte{byte(s.Number)})
	}
}

func (w *world) heal() {
	w.net.set(func(net *network) { net.cut, net.loss, net.repeat = nil, 0, 0 })
	w.store.set(func(st *store) { st.down, st.lose, st.delay = false, 0, 0 })
	for _, n := range w.nodes {
		n.thaw()
	}
}

// inspect compares what every node claims with the store's history.
func (w *world) inspect() {
	synctest.Wait()
	now := time.Now()
	for _, n := range w.nodes {
		s := n.now()
		confirmedAt, verdict := s.ConfirmedAt(), s.Verdict(now)
		held, _ := s.Latest(gage.StoreConfigKey)
		if want := w.store.newestBefore(confirmedAt); held.Revision < want {
			w.fail("%s holds revision %d and claims to be current as of a time when %d was in force", n.member.VM, held.Revision, want)
		}
		longAgo := now.Add(-fresh.IsolationBound)
		if want := w.store.newestBefore(longAgo); verdict == fresh.Confirmed && held.Revision < want {
			w.fail("%s is %s with revision %d although %d is older than the bound", n.member.VM, verdict, held.Revision, want)
		}
		if held.Revision == 0 && verdict.Serves() {
			w.fail("%s serves without a configuration", n.member.VM)
		}
	}
}

func (w *world) converged() {
	newest := w.store.newestBefore(time.Now())
	for _, n := range w.nodes {
		if n.revision() != newest {
			w.fail("%s ends with revision %d of %d", n.member.VM, n.revision(), newest)
		}
		if verdict := n.now().Verdict(time.Now()); verdict != fresh.Confirmed {
			w.fail("%s ends %s", n.member.VM, verdict)
		}
	}
}

// operators apply files and compare what they are told with the history.
type operators struct {
	world   *world
	started int
	results []*attempt
}

type attempt struct {
	id     string
	base   int64
	result apply.Result
}

// apply lets count operators apply different files on the same base.
func (o *operators) apply(count int) {
	w := o.world
	base := w.store.newestBefore(time.Now().Add(time.Nanosecond))
	for range count {
		o.started++
		a := &attempt{id: fmt.Sprintf("id-%d", o.started), base: base, result: apply.Result{Outcome: apply.Unknown}}
		o.results = append(o.results, a)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), convergence-5*time.Second)
			defer cancel()
			// Rivals may send the very same bytes.
			a.result = apply.Run(ctx, &nodeStore{store: w.store}, []byte("Deployment = \"a\"\n"), base, a.id)
		}()
	}
}

// judge must be called when every apply has ended.
func (o *operators) judge() {
	o.world.store.mu.Lock()
	defer o.world.store.mu.Unlock()
	inForce := make(map[string]int64)
	winners := make(map[int64]int)
	for _, past := range o.world.store.history {
		if stamps, _ := apply.SplitStamps(past.entry.Value); len(stamps) > 0 {
			inForce[stamps[0].ID] = past.entry.Revision
			winners[stamps[0].Base]++
		}
	}
	for base, count := range winners {
		if count != 1 {
			o.world.fail("%d files took the place of generation %d", count, base)
		}
	}
	for _, a := range o.results {
		won := inForce[a.id]
		switch a.result.Outcome {
		case apply.Applied, apply.Superseded:
			if a.result.Generation != won {
				o.world.fail("%s was told %+v but was generation %d", a.id, a.result, won)
			}
		case apply.Conflict:
			if won != 0 {
				o.world.fail("%s was told of a conflict but was generation %d", a.id, won)
			}
		}
	}
}

func TestApplySettlesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(2, 2, 5)
		defer w.stop()
		w.store.set(func(s *store) { s.lose = 0.7 })
		operator := &nodeStore{store: w.store}
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
