// Package graph plays overload days in simulated time: requests with nested
// calls over services whose targets have slots, guarded by the same decisions
// that the nodes take. It needs no network and no clock.
package graph

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/brake"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
	"github.com/greengagewind/greengagewind/gage/state/slots"
)

// Kind is a kind of request.
type Kind struct {
	Name    string
	Service string
	// Rank orders kinds that callers send; nested kinds have none.
	Rank   int
	Nested bool
	Work   time.Duration
	// Objective is when an answer has its full value, Deadline when the caller
	// gives up.
	Objective time.Duration
	Deadline  time.Duration
	// PerSecond is what callers send, 0 for nested kinds.
	PerSecond float64
	// Returns is how often a caller who was refused comes back.
	Returns int
	// Calls are made one after the other.
	Calls []string
}

// Service is a group of targets.
type Service struct {
	Name  string
	Slots int
	// Speeds hold one number a target: how fast it works.
	Speeds []float64
}

// Trouble changes a service for a while.
type Trouble struct {
	At, For time.Duration
	Service string
	// Lose is how many of its targets are gone.
	Lose int
	// Slow is by which factor work takes longer, 0 for 1.
	Slow float64
	// Burst multiplies what callers send, 0 for 1.
	Burst float64
}

// Day is what is played.
type Day struct {
	Kinds    []Kind
	Services []Service
	Troubles []Trouble
	Length   time.Duration
	Policy   Policy
	Seed     uint64
}

// Policy is what decides at the entry, and whether the targets' gates know the
// chains of calls that nested requests belong to.
type Policy string

// The policies.
const (
	// PolicyOpen lets all in. Chains are not known.
	PolicyOpen Policy = "Open"
	// PolicyChain lets all in. Chains are known.
	PolicyChain Policy = "Chain"
	// PolicyFixed holds each kind that callers send to its PerSecond. Chains are
	// not known.
	PolicyFixed Policy = "Fixed"
	// PolicyBrake lets in what the services further down can finish. Chains are
	// known.
	PolicyBrake Policy = "Brake"
)

// Count is what became of the requests of a kind.
type Count struct {
	Sent, InTime, Late, Refused, Failed int
}

// Result tells how a day went, by kind and second.
type Result struct {
	Kinds   map[string]Count
	Seconds []Count
	// Took holds how long each request that was served took, by the second in
	// which it began.
	Took [][]time.Duration
}

const (
	// steerEvery is how often nodes hear of each other.
	steerEvery = 200 * time.Millisecond
	// slotsUse is the part of the slots that is filled.
	slotsUse = 0.94
	// queuePart of the objective is how long a new request may wait.
	queuePart = 4
	// hopTime is the time of a message between nodes.
	hopTime = time.Millisecond
	// fixedBurst is how much of its rate a kind may send at once under
	// PolicyFixed.
	fixedBurst = 200 * time.Millisecond
	// heeded is the part of its time that a caller waits at most before it comes
	// back, as a divisor.
	heeded = 3
	// lookEvery is how often one that waits looks whether it may run.
	lookEvery = 3 * time.Millisecond
)

// event is something that happens at a moment.
type event struct {
	at  time.Time
	n   int
	act func()
}

type events []event

// Len is for the heap.
func (e events) Len() int { return len(e) }

// Less is for the heap.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].n < e[j].n)
}

// Swap is for the heap.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type target struct {
	gate  *slots.Gate
	speed float64
	gone  bool
}

type play struct {
	day     Day
	random  *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	n       int
	kinds   map[string]Kind
	targets map[string][]*target
	slow    map[string]float64
	burst   float64
	brake   *brake.Brake
	// fixed holds the rate of each kind under PolicyFixed.
	fixed  map[string]*bucket.Bucket
	result Result
}

// Play plays a day.
func Play(day Day) Result {
	start := time.Unix(1_800_000_000, 0)
	p := &play{
		day: day, random: rand.New(rand.NewPCG(day.Seed, 1)), now: start, start: start, burst: 1,
		kinds: make(map[string]Kind), targets: make(map[string][]*target), slow: make(map[string]float64), brake: brake.New(),
		fixed: make(map[string]*bucket.Bucket),
	}
	p.result.Kinds = make(map[string]Count)
	p.result.Seconds = make([]Count, int(day.Length/time.Second)+1)
	p.result.Took = make([][]time.Duration, len(p.result.Seconds))
	for _, k := range day.Kinds {
		p.kinds[k.Name] = k
		if k.PerSecond > 0 {
			p.after(p.gap(k), func() { p.arrive(k) })
			fixed := bucket.New(start, k.PerSecond, max(1, k.PerSecond*fixedBurst.Seconds()))
			p.fixed[k.Name] = &fixed
		}
	}
	for _, s := range day.Services {
		p.slow[s.Name] = 1
		for _, speed := range s.Speeds {
			p.targets[s.Name] = append(p.targets[s.Name], &target{gate: slots.New(start, int(float64(s.Slots)*slotsUse)), speed: speed})
		}
	}
	for _, t := range day.Troubles {
		p.after(t.At, func() { p.trouble(t, true) })
		p.after(t.At+t.For, func() { p.trouble(t, false) })
	}
	p.after(steerEvery, p.steer)
	end := start.Add(day.Length)
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at.After(end) {
			break
		}
		p.now = e.at
		e.act()
	}
	return p.result
}

func (p *play) after(d time.Duration, act func()) {
	p.n++
	heap.Push(&p.queue, event{at: p.now.Add(d), n: p.n, act: act})
}

func (p *play) gap(k Kind) time.Duration {
	return time.Duration(p.random.ExpFloat64() / (k.PerSecond * p.burst) * float64(time.Second))
}

func (p *play) trouble(t Trouble, on bool) {
	for i, target := range p.targets[t.Service] {
		if i < t.Lose {
			target.gone = on
		}
	}
	if t.Slow > 0 {
		p.slow[t.Service] = t.Slow
		if !on {
			p.slow[t.Service] = 1
		}
	}
	if t.Burst > 0 {
		p.burst = t.Burst
		if !on {
			p.burst = 1
		}
	}
}

func (p *play) steer() {
	p.after(steerEvery, p.steer)
	if p.day.Policy != PolicyBrake {
		return
	}
	pressure := make(map[string]float64)
	for service, targets := range p.targets {
		live := 0.0
		for _, t := range targets {
			if !t.gone {
				live++
				pressure[service] += t.gate.Pressure(p.now)
			}
		}
		if live > 0 {
			pressure[service] /= live
		} else {
			pressure[service] = 1
		}
	}
	var routes []brake.Route
	for _, k := range p.day.Kinds {
		if !k.Nested {
			routes = append(routes, brake.Route{Name: k.Name, Rank: k.Rank})
		}
	}
	p.brake.Adjust(p.now, routes, p.brake.Dependencies(p.now), pressure)
}

// arrive sends a caller's request.
func (p *play) arrive(k Kind) {
	p.after(p.gap(k), func() { p.arrive(k) })
	p.count(p.now, k, func(c *Count) { c.Sent++ })
	p.enter(k, p.now, 0)
}

// enter brings a caller's request, which has come back so often, to the entry.
func (p *play) enter(k Kind, began time.Time, returned int) {
	if !p.admits(k, returned > 0) {
		p.refuse(k, began, returned, true)
		return
	}
	ends := time.Time{}
	if p.day.Policy == PolicyBrake || p.day.Policy == PolicyChain {
		ends = began.Add(k.Deadline)
	}
	p.run(k, began.Add(k.Deadline), ends, func(ran, served bool, overloaded string) {
		if overloaded != k.Service {
			p.brake.Observe(p.now, k.Name, overloaded)
		}
		if !ran {
			p.refuse(k, began, returned, false)
			return
		}
		if served {
			second := int(began.Sub(p.start) / time.Second)
			p.result.Took[second] = append(p.result.Took[second], p.now.Sub(began))
		}
		p.count(began, k, func(c *Count) {
			switch {
			case served && p.now.Sub(began) <= k.Objective:
				c.InTime++
			case served:
				c.Late++
			default:
				c.Failed++
			}
		})
	})
}

// refuse tells a caller when to come back, or for good.
func (p *play) refuse(k Kind, began time.Time, returned int, throttled bool) {
	left := began.Add(k.Deadline).Sub(p.now)
	if returned >= k.Returns {
		p.count(began, k, func(c *Count) { c.Refused++ })
		return
	}
	wait := p.brake.RetryAfter(k.Name, throttled, k.Objective, left, p.random.Float64())
	p.after(min(wait, left/heeded), func() { p.enter(k, began, returned+1) })
}

// admits decides at the entry.
func (p *play) admits(k Kind, returning bool) bool {
	switch p.day.Policy {
	case PolicyBrake:
		return p.brake.Admit(k.Name, returning, p.random.Float64())
	case PolicyFixed:
		return p.fixed[k.Name].Take(p.now, 1) == 1
	case PolicyOpen, PolicyChain:
	}
	return true
}

func (p *play) count(began time.Time, k Kind, change func(c *Count)) {
	c := p.result.Kinds[k.Name]
	change(&c)
	p.result.Kinds[k.Name] = c
	change(&p.result.Seconds[int(began.Sub(p.start)/time.Second)])
}

// run takes a request to a target; ends is when the time of the caller's
// request above it is over. done hears whether it ran, whether it was
// served, and which service was overloaded when it was not.
func (p *play) run(k Kind, deadline, ends time.Time, done func(ran, served bool, overloaded string)) {
	t := p.pick(k.Service)
	if t == nil {
		done(false, false, k.Service)
		return
	}
	until := deadline
	if !k.Nested {
		until = p.now.Add(k.Objective / queuePart)
	}
	if until.After(deadline) {
		until = deadline
	}
	ticket := t.gate.Submit(p.now, slots.Request{Nested: k.Nested, Rank: k.Rank, WaitUntil: until, ChainDeadline: ends})
	p.await(t, ticket, until, func(granted bool) {
		if !granted {
			done(false, false, k.Service)
			return
		}
		work := time.Duration(float64(k.Work) * p.slow[k.Service] / t.speed * (0.7 + 0.6*p.random.Float64()))
		p.after(work+hopTime, func() { p.calls(k, k.Calls, deadline, ends, t, ticket, done) })
	})
}

// await hears of a ticket when it is settled, looking every lookEvery.
func (p *play) await(t *target, ticket *slots.Ticket, until time.Time, settled func(granted bool)) {
	select {
	case <-ticket.Decided:
		settled(ticket.RefusalReason == gage.ReasonNone)
		return
	default:
	}
	if !p.now.Before(until) {
		t.gate.Withdraw(p.now, ticket, gage.ReasonOverload)
		settled(false)
		return
	}
	p.after(lookEvery, func() { p.await(t, ticket, until, settled) })
}

// calls makes the calls that are left and ends the run.
func (p *play) calls(k Kind, left []string, deadline, ends time.Time, t *target, ticket *slots.Ticket, done func(ran, served bool, overloaded string)) {
	end := func(served bool, overloaded string) {
		t.gate.Done(p.now, ticket)
		done(true, served, overloaded)
	}
	switch {
	case p.now.After(deadline):
		end(false, "")
	case len(left) == 0:
		end(true, "")
	default:
		nested := p.kinds[left[0]]
		by := p.now.Add(nested.Deadline)
		if by.After(deadline) {
			by = deadline
		}
		p.run(nested, by, ends, func(_, served bool, overloaded string) {
			if !served {
				end(false, overloaded)
				return
			}
			p.calls(k, left[1:], deadline, ends, t, ticket, done)
		})
	}
}

// pick returns the live target of a service with the smallest use.
func (p *play) pick(service string) *target {
	var best *target
	bestUse := 0.0
	for _, t := range p.targets[service] {
		if t.gone {
			continue
		}
		use := float64(t.gate.InFlight()+t.gate.Waiting()+1) / float64(t.gate.Limit)
		if best == nil || use < bestUse {
			best, bestUse = t, use
		}
	}
	return best
}
