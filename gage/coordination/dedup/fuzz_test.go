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
	// dedupWindow is the time within which a key must not run twice.
	dedupWindow = 10 * time.Minute
	// admitTimeout is the time from a claim to the AdmitBy of its call.
	admitTimeout = 30 * time.Second
)

// execution is one run of a call, with the time at which its claim was sent.
type execution struct {
	request   string
	claimedAt time.Time
}

// grantedClaim is a granted claim whose entry node has not run the call yet.
type grantedClaim struct {
	entry     *node
	call      gage.Call
	claim     gage.Claim
	claimedAt time.Time
}

// stateMachine performs random events on a simulation, and records the executions
// of each key to find keys that ran twice.
type stateMachine struct {
	*simulation
	t          *rapid.T
	executions map[string][]execution
	grants     []grantedClaim
	callCount  int
	// newestKey is the index in usableKeys of the newest key that was claimed.
	newestKey int
	// usableKeys are keys of the shards that have holders.
	usableKeys []string
	// eventDepth is the number of events that are interrupted by the current one.
	eventDepth int
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{simulation: newSimulation(), t: t, executions: make(map[string][]execution)}
	m.shards = 2
	for i := 0; len(m.usableKeys) < 100; i++ {
		key := fmt.Sprint("key-", i)
		digest := table.KeyOf(call(0, key))
		if gage.ShardOf(string(digest[:])) < m.shards {
			m.usableKeys = append(m.usableKeys, key)
		}
	}
	m.chooseOutcome = func(*node, string) deliveryOutcome {
		return rapid.SampledFrom([]deliveryOutcome{
			outcomeDelivered, outcomeDelivered, outcomeDelivered, outcomeDelivered, outcomeDelivered, outcomeDelivered,
			outcomeNotSent, outcomeLost, outcomeAnswerLost, outcomeDelayed, outcomeTwice,
		}).Draw(t, "fate")
	}
	m.interleave = m.interrupt
	return m
}

// interrupt may perform another event between two messages. This simulates a
// process that is suspended at that point.
func (m *stateMachine) interrupt() {
	if m.eventDepth >= 2 || rapid.IntRange(0, 9).Draw(m.t, "interrupt") != 0 {
		return
	}
	m.eventDepth++
	defer func() { m.eventDepth-- }()
	events := m.events()
	names := make([]string, 0, len(events))
	for name := range events {
		names = append(names, name)
	}
	sort.Strings(names)
	events[rapid.SampledFrom(names).Draw(m.t, "event")]()
}

func (m *stateMachine) events() map[string]func() {
	return map[string]func(){
		"claim":    m.claim,
		"finish":   m.finish,
		"takeOver": m.takeOverAny,
		"replace":  m.replace,
		"kill":     m.restartAny,
		"tend":     m.copyOne,
		"arrive":   m.deliverDelayed,
		"wait":     m.advanceTime,
	}
}

func (m *stateMachine) anyNode() *node {
	return m.nodes[fmt.Sprint("vm-", rapid.IntRange(0, 4).Draw(m.t, "vm"))]
}

// claim claims a new or recent key through any entry node.
func (m *stateMachine) claim() {
	entry := m.anyNode()
	m.callCount++
	c := call(m.callCount, m.anyKey())
	requestedAt := m.now
	c.AdmitBy = requestedAt.Add(admitTimeout)
	claim := entry.claimer.Claim(context.Background(), m.now, c)
	if entry.isDead || claim.Outcome != gage.OutcomeNotRun || claim.Reason != gage.ReasonNone {
		return
	}
	m.grants = append(m.grants, grantedClaim{entry, c, claim, requestedAt})
}

// anyKey returns a new key or one of the three newest keys.
func (m *stateMachine) anyKey() string {
	age := rapid.IntRange(0, 4).Draw(m.t, "key")
	if age > 2 {
		m.newestKey = min(m.newestKey+1, len(m.usableKeys)-1)
		age = 0
	}
	return m.usableKeys[max(m.newestKey-age, 0)]
}

// finish removes a granted claim from grants. It may run the claim's call and may
// settle the claim.
func (m *stateMachine) finish() {
	if len(m.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "grant")
	g := m.grants[i]
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
	if g.entry.isDead {
		return
	}
	outcome := rapid.SampledFrom([]gage.Outcome{
		gage.OutcomeRan, gage.OutcomeUnknown, gage.OutcomeNotRun,
	}).Draw(m.t, "outcome")
	if m.now.After(g.call.AdmitBy) {
		outcome = gage.OutcomeNotRun
	}
	if outcome != gage.OutcomeNotRun {
		m.execute(g)
	}
	if rapid.IntRange(0, 3).Draw(m.t, "settle") == 0 {
		return
	}
	r := gage.Result{Outcome: outcome, Status: 200}
	g.entry.claimer.Settle(context.Background(), m.now, g.call, g.claim, r)
}

func (m *stateMachine) execute(g grantedClaim) {
	key := g.call.IdempotencyKey
	for _, earlier := range m.executions[key] {
		if g.claimedAt.Sub(earlier.claimedAt).Abs() < dedupWindow {
			m.t.Fatalf("key %s ran for %s, claimed at %s, and for %s, claimed at %s", key,
				earlier.request, earlier.claimedAt.Sub(startTime), g.call.RequestID, g.claimedAt.Sub(startTime))
		}
	}
	m.executions[key] = append(m.executions[key], execution{g.call.RequestID, g.claimedAt})
}

func (m *stateMachine) takeOverAny() {
	slot := rapid.IntRange(0, gage.MaxSlotsPerShard-1).Draw(m.t, "slot")
	m.startTakeover(slot, m.anyNode().self.VM)
}

// replace starts a takeover of a slot and completes it. Within interrupt, this
// happens while the interrupted event is suspended.
func (m *stateMachine) replace() {
	m.takeOverAny()
	m.now = m.now.Add(takeoverDelay)
	m.copyAll()
}

func (m *stateMachine) restartAny() {
	m.startProcess(m.anyNode().self.VM)
}

func (m *stateMachine) copyOne() {
	n := m.anyNode()
	n.keeper.CopyNewSlots(context.Background())
	n.keeper.Flush(context.Background())
}

func (m *stateMachine) deliverDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "message")
	message := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	message()
}

func (m *stateMachine) advanceTime() {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Second, takeoverDelay, takeoverDelay, takeoverDelay, takeoverDelay, takeoverDelay, time.Minute, 6 * time.Minute,
	}).Draw(m.t, "wait"))
	m.copyAll()
}

// TestAtMostOnce checks that no key runs twice within dedupWindow.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		actions := make(map[string]func(*rapid.T))
		for name, event := range m.events() {
			actions[name] = func(*rapid.T) { event() }
		}
		t.Repeat(actions)
	})
}
