package gate_test

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// fakeTarget is a target with a number of slots. Calls in excess of its slots wait
// in a FIFO backlog inside the target, which the gate cannot reorder. With more
// than three times as many calls as slots, the target also slows down.
type fakeTarget struct {
	engine *engine
	gate   *gate.Gate
	// slots returns the number of slots at present.
	slots func() int
	// slowdown returns the factor on the work time at present.
	slowdown  func() float64
	busySlots int
	backlog   []func()
	// failsOnExcess is true if calls in excess of one and a half times the slots
	// fail at once.
	failsOnExcess bool
	// peakLoad is the highest number of calls in the target, relative to its
	// slots.
	peakLoad float64
	// callbacks holds, by entry ID, the callbacks of calls that the gate has not
	// decided on.
	callbacks map[uint64]func(gate.Decision)
	nextID    uint64
}

const (
	tickInterval   = 5 * time.Millisecond
	failureLatency = 5 * time.Millisecond
)

func newFakeTarget(e *engine, slots int, options gate.Options) *fakeTarget {
	t := &fakeTarget{
		engine:    e,
		gate:      gate.New(e.now, options),
		slots:     func() int { return slots },
		slowdown:  func() float64 { return 1 },
		callbacks: make(map[uint64]func(gate.Decision)),
	}
	t.tick()
	return t
}

func (t *fakeTarget) tick() {
	t.applyDecisions(t.gate.Tick(t.engine.now))
	t.engine.schedule(tickInterval, t.tick)
}

// applyDecisions calls the callbacks of the decisions. It copies the decisions
// first, since a callback may call the gate, which reuses the slice.
func (t *fakeTarget) applyDecisions(decisions []gate.Decision) {
	copied := append([]gate.Decision(nil), decisions...)
	for _, d := range copied {
		done := t.callbacks[d.ID]
		delete(t.callbacks, d.ID)
		done(d)
	}
}

// requestSlot asks the gate for a slot and calls done with the decision.
func (t *fakeTarget) requestSlot(e shed.Entry, done func(gate.Decision)) {
	t.nextID++
	e.ID = t.nextID
	t.callbacks[e.ID] = done
	t.applyDecisions(t.gate.Arrive(t.engine.now, e))
}

// run runs an admitted call. The call waits for a slot of the target, occupies the
// slot for the work time and then calls workDone. If ok is true, the slot stays
// occupied until the caller calls freeSlot.
func (t *fakeTarget) run(mean time.Duration, workDone func(ok bool)) {
	start := func() {
		t.busySlots++
		t.engine.schedule(t.engine.randomWorkTime(time.Duration(float64(mean)*t.slowdown()*t.overloadSlowdown())), func() { workDone(true) })
	}
	slots := t.slots()
	t.peakLoad = max(t.peakLoad, float64(t.busySlots+len(t.backlog)+1)/float64(slots))
	if t.failsOnExcess && 2*(t.busySlots+len(t.backlog)) >= 3*slots {
		t.engine.schedule(failureLatency, func() { workDone(false) })
		return
	}
	if t.busySlots < slots {
		start()
		return
	}
	t.backlog = append(t.backlog, start)
}

func (t *fakeTarget) freeSlot() {
	t.busySlots--
	for t.busySlots < t.slots() && len(t.backlog) > 0 {
		start := t.backlog[0]
		t.backlog = t.backlog[1:]
		start()
	}
}

// overloadSlowdown returns the factor by which calls in excess of three times the
// slots slow the target down, at most 4.
func (t *fakeTarget) overloadSlowdown() float64 {
	slots := t.slots()
	excess := t.busySlots + len(t.backlog) - 3*slots
	if excess <= 0 {
		return 1
	}
	return min(1+float64(excess)/float64(slots), 4)
}

func (t *fakeTarget) load() gage.Load {
	return t.gate.Load()
}
