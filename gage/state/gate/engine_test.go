package gate_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// engine is a discrete-event simulator: it runs events in the order of their
// simulated time.
type engine struct {
	now    time.Time
	events events
	seq    int
	rng    *rand.Rand
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

var epoch = time.Unix(1_800_000_000, 0)

func newEngine(seed uint64) *engine {
	return &engine{now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (e *engine) schedule(d time.Duration, run func()) {
	e.seq++
	heap.Push(&e.events, event{at: e.now.Add(d), seq: e.seq, run: run})
}

func (e *engine) runUntil(end time.Time) {
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// elapsed returns the simulated time since the start of the run.
func (e *engine) elapsed() time.Duration {
	return e.now.Sub(epoch)
}

// exponential draws a duration from an exponential distribution.
func (e *engine) exponential(mean time.Duration) time.Duration {
	return time.Duration(e.rng.ExpFloat64() * float64(mean))
}

// randomWorkTime draws a service time uniformly between half the mean and one and
// a half times the mean.
func (e *engine) randomWorkTime(mean time.Duration) time.Duration {
	return time.Duration((0.5 + e.rng.Float64()) * float64(mean))
}
