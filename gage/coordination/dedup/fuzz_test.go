package dedup_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.steps", "60")
	}
	os.Exit(m.Run())
}

const (
	// promise is how long a key is never run again.
	promise = 10 * time.Minute
	// admitWithin stands for Call.AdmitBy: nothing runs on older decisions.
	admitWithin = 30 * time.Second
)

// run is one execution, with the time its claim was asked for.
type run struct {
	request string
	claimed time.Time
}

// grant is a claim held by an entry node that has not run its call yet.
type grant struct {
	entry   *node
	call    gage.Call
	claim   gage.Claim
	claimed time.Time
}

// machine drives a world against the simplest oracle: the runs of each key.
type machine struct {
	*world
	t      *rapid.T
	runs   map[string][]run
	grants []grant
	calls  int
	keys   int
	// keysHeld are keys of the shards that are held.
	keysHeld []string
	// depth bounds events within events.
	depth int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{world: newWorld(), t: t, runs: make(map[string][]run)}
	m.shards = 2
	for i := 0; len(m.keysHeld) < 100; i++ {
		key := fmt.Sprint("key-", i)
		digest := table.KeyOf(call(0, key))
		if gage.ShardOf(string(digest[:])) < m.shards {
			m.keysHeld = append(m.keysHeld, key)
		}
	}
	m.fate = func(*node, string) fate {
		return rapid.SampledFrom([]fate{
			fateDelivered, fateDelivered, fateDelivered, fateDelivered, fateDelivered, fateDelivered,
			fateNotSent, fateLost, fateAnswerLost, fateDelayed, fateTwice,
		}).Draw(t, "fate")
	}
	m.pause = m.interrupt
	return m
}

// interrupt lets other events fall between any two messages, which stands for
// a process that is frozen there.
func (m *machine) interrupt() {
	if m.depth >= 2 || rapid.IntRange(0, 9).Draw(m.t, "interrupt") != 0 {
		return
	}
	m.depth++
	defer func() { m.depth-- }()
	events := m.events()
	names := make([]string, 0, len(events))
	for name := range events {
		names = append(names, name)
	}
	sort.Strings(names)
	events[rapid.SampledFrom(names).Draw(m.t, "event")]()
}

func (m *machine) events() map[string]func() {
	return map[string]func(){
		"claim":    m.claim,
		"finish":   m.finish,
		"takeOver": m.takeover,
		"replace":  m.replace,
		"kill":     m.kill,
		"tend":     m.tendOne,
		"arrive":   m.arrive,
		"wait":     m.wait,
	}
}

func (m *machine) anyNode() *node {
	return m.nodes[fmt.Sprint("vm-", rapid.IntRange(0, 4).Draw(m.t, "vm"))]
}

// claim is a caller's first try or repeat through any entry node.
func (m *machine) claim() {
	entry := m.anyNode()
	m.calls++
	c := call(m.calls, m.anyKey())
	asked := m.now
	c.AdmitBy = asked.Add(admitWithin)
	claim := entry.claimer.Claim(context.Background(), m.now, c)
	if entry.dead || claim.Outcome != gage.OutcomeNotRun || claim.Reason != gage.ReasonNone {
		return
	}
	m.grants = append(m.grants, grant{entry, c, claim, asked})
}

// anyKey is a new key or one of the last few.
func (m *machine) anyKey() string {
	back := rapid.IntRange(0, 4).Draw(m.t, "key")
	if back > 2 {
		m.keys = min(m.keys+1, len(m.keysHeld)-1)
		back = 0
	}
	return m.keysHeld[max(m.keys-back, 0)]
}

// finish runs a granted call or not, and settles it or not.
func (m *machine) finish() {
	if len(m.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "grant")
	g := m.grants[i]
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
	if g.entry.dead {
		return
	}
	outcome := rapid.SampledFrom([]gage.Outcome{
		gage.OutcomeRan, gage.OutcomeUnknown, gage.OutcomeNotRun,
	}).Draw(m.t, "outcome")
	if m.now.After(g.call.AdmitBy) {
		outcome = gage.OutcomeNotRun
	}
	if outcome != gage.OutcomeNotRun {
		m.run(g)
	}
	if rapid.IntRange(0, 3).Draw(m.t, "settle") == 0 {
		return
	}
	r := gage.Result{Outcome: outcome, Status: 200}
	g.entry.claimer.Settle(context.Background(), m.now, g.call, g.claim, r)
}

func (m *machine) run(g grant) {
	key := g.call.IdempotencyKey
	for _, earlier := range m.runs[key] {
		if g.claimed.Sub(earlier.claimed).Abs() < promise {
			m.t.Fatalf("key %s ran for %s, claimed at %s, and for %s, claimed at %s", key,
				earlier.request, earlier.claimed.Sub(start), g.call.RequestID, g.claimed.Sub(start))
		}
	}
	m.runs[key] = append(m.runs[key], run{g.call.RequestID, g.claimed})
}

func (m *machine) takeover() {
	slot := rapid.IntRange(0, gage.ShareSlots-1).Draw(m.t, "slot")
	m.takeOver(slot, m.anyNode().self.VM)
}

// replace is a takeover during which whatever it interrupts is frozen.
func (m *machine) replace() {
	m.takeover()
	m.now = m.now.Add(fence)
	m.tend()
}

func (m *machine) kill() {
	m.boot(m.anyNode().self.VM)
}

func (m *machine) tendOne() {
	n := m.anyNode()
	n.keeper.CopyNewSlots(context.Background())
	n.keeper.Flush(context.Background())
}

func (m *machine) arrive() {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "message")
	message := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	message()
}

func (m *machine) wait() {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Second, fence, fence, fence, fence, fence, time.Minute, 6 * time.Minute,
	}).Draw(m.t, "wait"))
	m.tend()
}

// TestAtMostOnce looks for a key that ran twice within the promised time.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		actions := make(map[string]func(*rapid.T))
		for name, event := range m.events() {
			actions[name] = func(*rapid.T) { event() }
		}
		t.Repeat(actions)
	})
}
