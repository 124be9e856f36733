// Package graph simulates overload in a call graph: requests with nested calls
// to services whose targets have a limited number of slots. Admission at the
// entry and at the targets uses the same code as the nodes. Time is simulated,
// and there is no network.
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

// RequestKind is a kind of request, like a route. Targets send the
// requests of nested kinds, and callers send all others.
type RequestKind struct {
	Name    string
	Service string
	// Rank is the priority under overload: 0 is served first. It is not used
	// for nested kinds.
	Rank   int
	Nested bool
	// ServiceTime is the mean time that a target of speed 1 works on a request
	// before it makes its nested calls.
	ServiceTime time.Duration
	// Objective is the latency objective. An answer that takes longer counts as
	// late.
	Objective time.Duration
	// Deadline is how long the caller waits for an answer.
	Deadline time.Duration
	// ArrivalRate is the rate at which callers send requests, per second. It is
	// 0 for nested kinds.
	ArrivalRate float64
	// MaxRetries is how often a caller retries a request that was refused.
	MaxRetries int
	// Calls are the names of the kinds of the nested calls, made one after the
	// other.
	Calls []string
}

// Service is a group of targets.
type Service struct {
	Name string
	// Slots is the number of requests that each target can run at once.
	Slots int
	// Speeds has one element for each target: the factor by which it is faster
	// than a target of speed 1.
	Speeds []float64
}

// Disturbance is a temporary fault of a service or a temporary change of the
// load.
type Disturbance struct {
	// At is the time from the start of the simulation to the beginning of the
	// disturbance.
	At, Duration time.Duration
	// Service is the name of the service that LostTargets and SlowFactor affect.
	Service string
	// LostTargets is the number of targets that are down.
	LostTargets int
	// SlowFactor multiplies the service times; 0 means 1.
	SlowFactor float64
	// ArrivalRateFactor multiplies the arrival rates of all kinds; 0 means 1.
	ArrivalRateFactor float64
}

// Scenario is the input of a simulation.
type Scenario struct {
	Kinds        []RequestKind
	Services     []Service
	Disturbances []Disturbance
	// Length is the simulated time.
	Length time.Duration
	Policy Policy
	// Seed is the seed of the random numbers. The same scenario has the same
	// result each time.
	Seed uint64
}

// Policy is the algorithm for admission at the entry. It also determines whether
// the targets' gates know the deadline of the caller's request to which a nested
// call belongs. Gates that know it prefer the call with the earliest deadline
// among those that can still be finished.
type Policy string

// The policies.
const (
	// PolicyOpen admits all requests. Gates don't know the deadlines.
	PolicyOpen Policy = "Open"
	// PolicyChain admits all requests. Gates know the deadlines.
	PolicyChain Policy = "Chain"
	// PolicyFixed limits each kind to its ArrivalRate. Gates don't know the
	// deadlines.
	PolicyFixed Policy = "Fixed"
	// PolicyBrake limits admission by the load of the services further down the
	// call chain (see package brake). Gates know the deadlines.
	PolicyBrake Policy = "Brake"
)

// Counts are numbers of requests of callers, retries not counted.
type Counts struct {
	// Sent is the number of all requests, including those that had no result
	// by the end of the simulation.
	Sent int
	// InTime is the number of requests that were answered within their
	// objective. Late is the number that were answered later.
	InTime, Late int
	// Refused is the number of requests that never ran. Failed is the number
	// that ran but were not answered.
	Refused, Failed int
}

// Result is the result of a simulation.
type Result struct {
	// Kinds are the counts by name of the kind.
	Kinds map[string]Counts
	// Seconds are the counts by the second in which the request arrived.
	Seconds []Counts
	// Latencies are the latencies of the answered requests, by the second in
	// which the request arrived.
	Latencies [][]time.Duration
}

const (
	// brakeInterval is how often the brake gets the pressure of the services. It
	// models the interval at which nodes exchange their states.
	brakeInterval = 200 * time.Millisecond
	// slotUtilization is the fraction of a target's slots that its gate uses.
	slotUtilization = 0.94
	// A caller's request waits for a slot for at most its objective divided by
	// queueWaitDivisor.
	queueWaitDivisor = 4
	// networkDelay is the network time of a call.
	networkDelay = time.Millisecond
	// Under PolicyFixed the burst of a kind is its ArrivalRate multiplied by
	// fixedBurstTime, but at least 1 request.
	fixedBurstTime = 200 * time.Millisecond
	// A caller waits before a retry for at most its remaining time divided by
	// retryWaitDivisor.
	retryWaitDivisor = 3
	// grantPollInterval is the time between two checks of whether a waiting
	// request has got a slot.
	grantPollInterval = 3 * time.Millisecond
)

// event is an action at a simulated time.
type event struct {
	at time.Time
	// sequence orders events of the same time: the one scheduled first runs first.
	sequence int
	action   func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// target is a simulated target.
type target struct {
	gate  *slots.Gate
	speed float64
	lost  bool
}

// simulation is the state of a running simulation.
type simulation struct {
	scenario          Scenario
	random            *rand.Rand
	now               time.Time
	start             time.Time
	events            eventHeap
	sequence          int
	kinds             map[string]RequestKind
	targets           map[string][]*target
	slowFactor        map[string]float64
	arrivalRateFactor float64
	brake             *brake.Brake
	// rateLimits are the token buckets of the kinds under PolicyFixed.
	rateLimits map[string]*bucket.Bucket
	result     Result
}

// Simulate runs a scenario.
func Simulate(scenario Scenario) Result {
	start := time.Unix(1_800_000_000, 0)
	sim := &simulation{
		scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), now: start, start: start, arrivalRateFactor: 1,
		kinds: make(map[string]RequestKind), targets: make(map[string][]*target), slowFactor: make(map[string]float64), brake: brake.New(),
		rateLimits: make(map[string]*bucket.Bucket),
	}
	sim.result.Kinds = make(map[string]Counts)
	sim.result.Seconds = make([]Counts, int(scenario.Length/time.Second)+1)
	sim.result.Latencies = make([][]time.Duration, len(sim.result.Seconds))
	for _, k := range scenario.Kinds {
		sim.kinds[k.Name] = k
		if k.ArrivalRate > 0 {
			sim.schedule(sim.interarrivalTime(k), func() { sim.arrive(k) })
			limit := bucket.New(start, k.ArrivalRate, max(1, k.ArrivalRate*fixedBurstTime.Seconds()))
			sim.rateLimits[k.Name] = &limit
		}
	}
	for _, s := range scenario.Services {
		sim.slowFactor[s.Name] = 1
		for _, speed := range s.Speeds {
			sim.targets[s.Name] = append(sim.targets[s.Name], &target{gate: slots.New(start, int(float64(s.Slots)*slotUtilization)), speed: speed})
		}
	}
	for _, d := range scenario.Disturbances {
		sim.schedule(d.At, func() { sim.disturb(d, true) })
		sim.schedule(d.At+d.Duration, func() { sim.disturb(d, false) })
	}
	sim.schedule(brakeInterval, sim.updateBrake)
	end := start.Add(scenario.Length)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.action()
	}
	return sim.result
}

// schedule adds an event at d from now.
func (s *simulation) schedule(d time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, action: action})
}

// interarrivalTime returns the random time until the next request of a kind, so
// that requests arrive as a Poisson process.
func (s *simulation) interarrivalTime(k RequestKind) time.Duration {
	return time.Duration(s.random.ExpFloat64() / (k.ArrivalRate * s.arrivalRateFactor) * float64(time.Second))
}

// disturb begins a disturbance, or ends it if on is false.
func (s *simulation) disturb(d Disturbance, on bool) {
	for i, target := range s.targets[d.Service] {
		if i < d.LostTargets {
			target.lost = on
		}
	}
	if d.SlowFactor > 0 {
		s.slowFactor[d.Service] = d.SlowFactor
		if !on {
			s.slowFactor[d.Service] = 1
		}
	}
	if d.ArrivalRateFactor > 0 {
		s.arrivalRateFactor = d.ArrivalRateFactor
		if !on {
			s.arrivalRateFactor = 1
		}
	}
}

// updateBrake adjusts the admission at the entry to the mean pressure of each
// service. A service without a live target counts as fully loaded.
func (s *simulation) updateBrake() {
	s.schedule(brakeInterval, s.updateBrake)
	if s.scenario.Policy != PolicyBrake {
		return
	}
	pressure := make(map[string]float64)
	for service, targets := range s.targets {
		live := 0.0
		for _, t := range targets {
			if !t.lost {
				live++
				pressure[service] += t.gate.Pressure(s.now)
			}
		}
		if live > 0 {
			pressure[service] /= live
		} else {
			pressure[service] = 1
		}
	}
	var routes []brake.Route
	for _, k := range s.scenario.Kinds {
		if !k.Nested {
			routes = append(routes, brake.Route{Name: k.Name, Rank: k.Rank})
		}
	}
	s.brake.Adjust(s.now, routes, s.brake.Dependencies(s.now), pressure)
}

// arrive sends a caller's request and schedules the next one.
func (s *simulation) arrive(k RequestKind) {
	s.schedule(s.interarrivalTime(k), func() { s.arrive(k) })
	s.count(s.now, k, func(c *Counts) { c.Sent++ })
	s.submit(k, s.now, 0)
}

// submit sends a caller's request, or a retry of it, to the entry. ArrivedAt is
// when the caller first sent the request, and retries is how often the caller has
// retried it.
func (s *simulation) submit(k RequestKind, arrivedAt time.Time, retries int) {
	if !s.admits(k, retries > 0) {
		s.retryLater(k, arrivedAt, retries, true)
		return
	}
	rootDeadline := time.Time{}
	if s.scenario.Policy == PolicyBrake || s.scenario.Policy == PolicyChain {
		rootDeadline = arrivedAt.Add(k.Deadline)
	}
	s.runRequest(k, arrivedAt.Add(k.Deadline), rootDeadline, func(ran, served bool, overloaded string) {
		if overloaded != k.Service {
			s.brake.Observe(s.now, k.Name, overloaded)
		}
		if !ran {
			s.retryLater(k, arrivedAt, retries, false)
			return
		}
		if served {
			second := int(arrivedAt.Sub(s.start) / time.Second)
			s.result.Latencies[second] = append(s.result.Latencies[second], s.now.Sub(arrivedAt))
		}
		s.count(arrivedAt, k, func(c *Counts) {
			switch {
			case served && s.now.Sub(arrivedAt) <= k.Objective:
				c.InTime++
			case served:
				c.Late++
			default:
				c.Failed++
			}
		})
	})
}

// retryLater schedules the retry of a refused request, or counts the request as
// refused if the caller has no retries left. Throttled says that the request was
// refused at the entry.
func (s *simulation) retryLater(k RequestKind, arrivedAt time.Time, retries int, throttled bool) {
	remaining := arrivedAt.Add(k.Deadline).Sub(s.now)
	if retries >= k.MaxRetries {
		s.count(arrivedAt, k, func(c *Counts) { c.Refused++ })
		return
	}
	wait := s.brake.RetryAfter(k.Name, throttled, k.Objective, remaining, s.random.Float64())
	s.schedule(min(wait, remaining/retryWaitDivisor), func() { s.submit(k, arrivedAt, retries+1) })
}

// admits reports whether the entry admits a request.
func (s *simulation) admits(k RequestKind, isRetry bool) bool {
	switch s.scenario.Policy {
	case PolicyBrake:
		return s.brake.Admit(k.Name, isRetry, s.random.Float64())
	case PolicyFixed:
		return s.rateLimits[k.Name].Take(s.now, 1) == 1
	case PolicyOpen, PolicyChain:
	}
	return true
}

// count applies change to the counts of the kind and of the second.
func (s *simulation) count(arrivedAt time.Time, k RequestKind, change func(c *Counts)) {
	c := s.result.Kinds[k.Name]
	change(&c)
	s.result.Kinds[k.Name] = c
	change(&s.result.Seconds[int(arrivedAt.Sub(s.start)/time.Second)])
}

// runRequest sends a request to a target. RootDeadline is the deadline of the
// caller's request from which this request descends, or zero if the gates don't
// know the deadlines. At the end, runRequest calls done. Ran and served say
// whether the request ran and whether it was answered. Overloaded is the service
// whose overload made the request fail, or "" if there is none.
func (s *simulation) runRequest(k RequestKind, deadline, rootDeadline time.Time, done func(ran, served bool, overloaded string)) {
	t := s.pickTarget(k.Service)
	if t == nil {
		done(false, false, k.Service)
		return
	}
	waitUntil := deadline
	if !k.Nested {
		waitUntil = s.now.Add(k.Objective / queueWaitDivisor)
	}
	if waitUntil.After(deadline) {
		waitUntil = deadline
	}
	ticket := t.gate.Submit(s.now, slots.Request{Nested: k.Nested, Rank: k.Rank, WaitUntil: waitUntil, ChainDeadline: rootDeadline})
	s.awaitGrant(t, ticket, waitUntil, func(granted bool) {
		if !granted {
			done(false, false, k.Service)
			return
		}
		work := time.Duration(float64(k.ServiceTime) * s.slowFactor[k.Service] / t.speed * (0.7 + 0.6*s.random.Float64()))
		s.schedule(work+networkDelay, func() { s.runCalls(k, k.Calls, deadline, rootDeadline, t, ticket, done) })
	})
}

// awaitGrant calls done once the ticket is granted or refused. At waitUntil it
// withdraws a ticket that is still waiting and calls done with false.
func (s *simulation) awaitGrant(t *target, ticket *slots.Ticket, waitUntil time.Time, done func(granted bool)) {
	select {
	case <-ticket.Decided:
		done(ticket.RefusalReason == gage.ReasonNone)
		return
	default:
	}
	if !s.now.Before(waitUntil) {
		t.gate.Withdraw(s.now, ticket, gage.ReasonOverload)
		done(false)
		return
	}
	s.schedule(grantPollInterval, func() { s.awaitGrant(t, ticket, waitUntil, done) })
}

// runCalls makes the remaining nested calls of a request, one after the other,
// and then ends the request.
func (s *simulation) runCalls(k RequestKind, remaining []string, deadline, rootDeadline time.Time, t *target, ticket *slots.Ticket, done func(ran, served bool, overloaded string)) {
	end := func(served bool, overloaded string) {
		t.gate.Done(s.now, ticket)
		done(true, served, overloaded)
	}
	switch {
	case s.now.After(deadline):
		end(false, "")
	case len(remaining) == 0:
		end(true, "")
	default:
		nested := s.kinds[remaining[0]]
		nestedDeadline := s.now.Add(nested.Deadline)
		if nestedDeadline.After(deadline) {
			nestedDeadline = deadline
		}
		s.runRequest(nested, nestedDeadline, rootDeadline, func(_, served bool, overloaded string) {
			if !served {
				end(false, overloaded)
				return
			}
			s.runCalls(k, remaining[1:], deadline, rootDeadline, t, ticket, done)
		})
	}
}

// pickTarget returns the live target of a service with the lowest utilization,
// or nil if none is live.
func (s *simulation) pickTarget(service string) *target {
	var best *target
	lowest := 0.0
	for _, t := range s.targets[service] {
		if t.lost {
			continue
		}
		utilization := float64(t.gate.InFlight()+t.gate.Waiting()+1) / float64(t.gate.Limit)
		if best == nil || utilization < lowest {
			best, lowest = t, utilization
		}
	}
	return best
}
