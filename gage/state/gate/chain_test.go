package gate_test

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// Callers make up to callerAttempts attempts with a mean pause of callerBackoff,
// whatever the reason of a failure. For each attempt, nodes make up to
// retriesPerAttempt retries.
const (
	requestDeadline   = time.Second
	callerAttempts    = 3
	callerBackoff     = 50 * time.Millisecond
	retriesPerAttempt = 1
)

// fakeService is a service with several targets.
type fakeService struct {
	targets []*fakeTarget
	// meanWork is the mean time that a target works on a call, without nested calls.
	meanWork time.Duration
}

// traffic is the stream of requests of one workspace for one route.
type traffic struct {
	workspace  string
	route      string
	importance gage.Importance
	// path lists the services that a request passes. Each service calls the next
	// one while it serves the request.
	path []*fakeService
	// lastHopCalls is how many calls, one after another, the second to last
	// service makes to the last one. 0 means one.
	lastHopCalls int
	// rate returns the arrival rate at present, in requests per second.
	rate func() float64
	// sent and succeeded count requests, and failed counts failed attempts, for
	// each second of the run.
	sent, succeeded, failed []int
}

// simulation sends requests through services in simulated time.
type simulation struct {
	*engine
	// excludesNestedCalls is true if the completions that gates receive exclude the
	// latency and the failures of nested calls.
	excludesNestedCalls bool
	// reportsNestedSheds is true if the completions that gates receive report that a
	// nested call was refused.
	reportsNestedSheds bool
	// drawsOrderPerHop is true if each hop draws a shed order of its own.
	drawsOrderPerHop bool
	traffic          []*traffic
	// addWorkspace adds the traffic of a workspace. The demand is relative to the
	// capacity.
	addWorkspace func(workspace string, demand float64)
	// ranCalls counts the calls that ran. wastedCalls counts the calls that ran for
	// attempts that failed.
	ranCalls, wastedCalls int
}

// attempt is one attempt of a caller at a request.
type attempt struct {
	traffic     *traffic
	shedOrder   uint32
	deadline    time.Time
	retriesLeft int
	ranCalls    int
}

func (sim *simulation) addTraffic(t *traffic) {
	sim.traffic = append(sim.traffic, t)
	sim.scheduleArrival(t)
}

// scheduleArrival schedules the next request. Arrivals are a Poisson process.
func (sim *simulation) scheduleArrival(t *traffic) {
	rate := t.rate()
	if rate <= 0 {
		sim.schedule(10*time.Millisecond, func() { sim.scheduleArrival(t) })
		return
	}
	sim.schedule(sim.exponential(time.Duration(float64(time.Second)/rate)), func() {
		countAt(&t.sent, sim.elapsed())
		sim.startAttempt(t, 1)
		sim.scheduleArrival(t)
	})
}

func (sim *simulation) startAttempt(t *traffic, number int) {
	a := &attempt{traffic: t, shedOrder: sim.rng.Uint32(), deadline: sim.now.Add(requestDeadline), retriesLeft: retriesPerAttempt}
	sim.call(a, 0, func(ok bool) {
		sim.ranCalls += a.ranCalls
		ok = ok && !sim.now.After(a.deadline)
		if ok {
			countAt(&t.succeeded, sim.elapsed())
			return
		}
		sim.wastedCalls += a.ranCalls
		countAt(&t.failed, sim.elapsed())
		if number < callerAttempts {
			sim.schedule(sim.randomWorkTime(callerBackoff), func() { sim.startAttempt(t, number+1) })
		}
	})
}

// call sends a call to the service at a depth of the path. It passes to done
// whether the call and its nested calls succeeded.
func (sim *simulation) call(a *attempt, depth int, done func(bool)) {
	if depth == len(a.traffic.path) {
		done(true)
		return
	}
	service := a.traffic.path[depth]
	target := sim.pickTarget(service)
	shedOrder := a.shedOrder
	if sim.drawsOrderPerHop {
		shedOrder = sim.rng.Uint32()
	}
	entry := shed.Entry{
		Rank:      a.traffic.importance.Rank(),
		Nested:    depth > 0,
		Route:     a.traffic.route,
		Workspace: a.traffic.workspace,
		ShedOrder: shedOrder,
		Deadline:  a.deadline,
	}
	target.requestSlot(entry, func(d gate.Decision) {
		switch {
		case d.Admitted:
			sim.runCall(a, depth, service, target, entry, done)
		case a.retriesLeft > 0 && sim.now.Before(a.deadline):
			a.retriesLeft--
			sim.call(a, depth, done)
		default:
			done(false)
		}
	})
}

func (sim *simulation) runCall(a *attempt, depth int, s *fakeService, t *fakeTarget, entry shed.Entry, done func(bool)) {
	began := sim.now
	a.ranCalls++
	t.run(s.meanWork, func(ok bool) {
		workEnd := sim.now
		if !ok {
			t.applyDecisions(t.gate.Release(sim.now, gate.Completion{Entry: entry, Latency: sim.now.Sub(began), Failed: true}))
			done(false)
			return
		}
		sim.callNested(a, depth+1, 1, func(ok bool) {
			t.freeSlot()
			completion := gate.Completion{Entry: entry, Latency: sim.now.Sub(began), Failed: !ok}
			if sim.excludesNestedCalls {
				completion.Latency, completion.Failed = workEnd.Sub(began), false
			}
			completion.NestedShed = sim.reportsNestedSheds && !ok
			t.applyDecisions(t.gate.Release(sim.now, completion))
			done(ok)
		})
	})
}

// callNested makes the calls of a service to the next one of the path, one after
// another. It begins with the call that has the given number.
func (sim *simulation) callNested(a *attempt, depth, number int, done func(bool)) {
	sim.call(a, depth, func(ok bool) {
		if ok && depth == len(a.traffic.path)-1 && number < a.traffic.lastHopCalls {
			sim.callNested(a, depth, number+1, done)
			return
		}
		done(ok)
	})
}

// pickTarget returns the less utilized of two random targets.
func (sim *simulation) pickTarget(s *fakeService) *fakeTarget {
	a := s.targets[sim.rng.IntN(len(s.targets))]
	b := s.targets[sim.rng.IntN(len(s.targets))]
	if utilization(b) < utilization(a) {
		return b
	}
	return a
}

func utilization(t *fakeTarget) float64 {
	l := t.load()
	return float64(l.InFlight+l.Queued) / float64(l.Limit)
}

// countAt adds one to the count of the second that contains at.
func countAt(seconds *[]int, at time.Duration) {
	second := int(at / time.Second)
	for len(*seconds) <= second {
		*seconds = append(*seconds, 0)
	}
	(*seconds)[second]++
}

// meanRate returns the mean number of requests of the chosen traffic per second. The
// mean is over each second s with from <= s < to. counts selects which counts to use.
func meanRate(chosen []*traffic, counts func(*traffic) []int, from, to int) float64 {
	sum := 0
	for _, t := range chosen {
		for second, n := range counts(t) {
			if second >= from && second < to {
				sum += n
			}
		}
	}
	return float64(sum) / float64(to-from)
}

func succeeded(t *traffic) []int { return t.succeeded }
func sent(t *traffic) []int      { return t.sent }
func failed(t *traffic) []int    { return t.failed }
