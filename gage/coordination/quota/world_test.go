package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// world runs the state machines of a small fleet on simulated true time.
type world struct {
	start  time.Time
	now    time.Time
	queue  events
	order  uint64
	random *rand.Rand
	knobs  knobs
	nodes  []*node
	store  *memoryStore
	// cut[a][b] tells that nothing goes from a to b; the store is the last.
	cut    [][]bool
	oracle *oracle
	// applied are the configurations so far.
	applied []*gage.Config
	faults  []string
	tally   tally
	calls   []call
}

// knobs are the rates of faults, and the mechanisms that a test switches off.
type knobs struct {
	loss, repeat, slow, freeze, loseAnswer float64
	// deaf is how often a heartbeat brings no documents.
	deaf         float64
	takeoverWait time.Duration
	// configLag is within what time a configuration reaches a node.
	configLag time.Duration
	// forgetful makes members forget what they were told.
	forgetful bool
	// eager makes holders count every slot as agreed.
	eager bool
	// fleet is how many nodes there are, three zones in turn.
	fleet int
}

// tally counts what happened.
type tally struct {
	asked, granted, overRate, unavailable, lapsed int
	takes, confirms, adopteds, storeCalls         int
}

func usualKnobs() knobs {
	return knobs{takeoverWait: fence.LeaseDuration + fence.DriftMargin, configLag: 2 * time.Second, fleet: 5}
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, k knobs) *world {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{start: start, now: start, random: rand.New(rand.NewPCG(seed, 7)), knobs: k}
	w.store = newMemoryStore()
	w.oracle = newOracle()
	for i := range k.fleet {
		w.nodes = append(w.nodes, &node{w: w, index: i, vm: fmt.Sprintf("vm%02d", i), zone: fmt.Sprintf("zone%d", i%3)})
	}
	w.cut = make([][]bool, k.fleet+1)
	for i := range w.cut {
		w.cut[i] = make([]bool, k.fleet+1)
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, run: run})
}

func (w *world) runFor(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

// delay is one network hop.
func (w *world) delay() time.Duration {
	if w.chance(w.knobs.slow) {
		return time.Duration(w.random.Int64N(int64(600 * time.Millisecond)))
	}
	return 200*time.Microsecond + time.Duration(w.random.Int64N(int64(600*time.Microsecond)))
}

// carry brings a message from one place to another, or not, or twice.
func (w *world) carry(from, to int, deliver func()) {
	if w.cut[from][to] || w.chance(w.knobs.loss) {
		return
	}
	w.after(w.delay(), deliver)
	if w.chance(w.knobs.repeat) {
		w.after(w.delay(), deliver)
	}
}

func (w *world) apply(config *gage.Config) {
	w.applied = append(w.applied, config)
	w.oracle.note(w)
	for _, n := range w.nodes {
		n.hearConfig(len(w.applied) - 1)
	}
}

// exclusive reports the slots that two processes serve at once.
func (w *world) exclusive() {
	for shard := range gage.ShareShards {
		for slot := range gage.ShareSlots {
			var holders []string
			for _, n := range w.nodes {
				if _, ok := n.Standing(shard, slot, n.local()); n.up && ok {
					holders = append(holders, n.vm)
				}
			}
			if len(holders) > 1 {
				w.faults = append(w.faults, fmt.Sprintf("%v: shard %d slot %d served by %v", w.now.Sub(w.start), shard, slot, holders))
			}
		}
	}
}

// take is a quota ask on its way from a node to a holder.
func (w *world) take(n *node, s quota.Send) {
	process := n.process
	answered := false
	reply := func(answer quota.TakeAnswer, ok bool) {
		n.do(process, func(now time.Time) {
			if !answered {
				answered = true
				n.desk.Answered(now, s.Flight, answer, ok)
			}
		})
	}
	w.after(s.Timeout, func() { reply(quota.TakeAnswer{}, false) })
	w.after(quota.HedgeAfter, func() { n.do(process, func(now time.Time) { n.desk.Late(now, s.Flight) }) })
	holder := n
	if !s.Local {
		w.tally.takes++
		holder = w.at(s.Address)
	}
	w.carry(n.index, holder.index, func() {
		holder.do(holder.process, func(now time.Time) {
			answer := holder.issuer.Take(now, s.Ask)
			w.carry(holder.index, n.index, func() { reply(answer, true) })
		})
	})
}

func (w *world) at(address string) *node {
	for _, n := range w.nodes {
		if n.vm == address {
			return n
		}
	}
	panic("no node at " + address)
}

func (w *world) confirm(n *node, out share.Outgoing) {
	process := n.process
	member := w.at(out.Address)
	w.tally.confirms++
	w.carry(n.index, member.index, func() {
		member.keep(member.process, func(now time.Time) {
			answer := member.keeper.Confirm(now, out.Ask)
			for i := range answer.Words {
				if w.knobs.forgetful && !out.Ask.Items[i].Tell {
					answer.Words[i].Known = 0
				}
			}
			w.carry(member.index, n.index, func() {
				n.keep(process, func(now time.Time) { n.keeper.Answered(now, out, answer) })
			})
		})
	})
}

func (w *world) adopted(n *node, out quota.Outgoing) {
	process := n.process
	holder := w.at(out.Address)
	w.tally.adopteds++
	w.carry(n.index, holder.index, func() {
		holder.do(holder.process, func(now time.Time) {
			answer := holder.issuer.Adopted(now, out.Ask)
			if w.knobs.eager {
				answer = quota.AdoptedAnswer{Generation: out.Generation, Standing: out.Ask.Places}
			}
			w.carry(holder.index, n.index, func() {
				n.do(process, func(now time.Time) { n.issuer.Heard(now, out, answer) })
			})
		})
	})
}

// call carries a store call. One whose answer is lost may land long after.
func (w *world) call(n *node, call share.Call) {
	process := n.process
	w.tally.storeCalls++
	store := len(w.nodes)
	answered := false
	finish := func(do func(now time.Time)) {
		n.keep(process, func(now time.Time) {
			if !answered {
				answered = true
				do(now)
			}
		})
	}
	w.after(2*time.Second, func() {
		finish(func(now time.Time) { n.stored(now, call, storeAnswer{err: errStore}) })
	})
	w.carry(n.index, store, func() {
		if w.store.down {
			return
		}
		answer := w.store.do(call)
		if w.chance(w.knobs.loseAnswer) {
			return
		}
		w.carry(store, n.index, func() {
			finish(func(now time.Time) { n.stored(now, call, answer) })
		})
	})
}
