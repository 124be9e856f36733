package gate_test

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The hard-retrying callers and what the fleet may retry.
const (
	requestDeadline = time.Second
	callerTries     = 3
	callerPause     = 50 * time.Millisecond
	fleetRetries    = 1
)

// fakeService is a group of targets; its calls nest into next when a route
// says so.
type fakeService struct {
	targets []*fakeTarget
	work    time.Duration
}

// traffic is one kind of request of one workspace.
type traffic struct {
	workspace  string
	route      string
	importance gage.Importance
	// path lists the services that the request passes, each nested in the one
	// before.
	path []*fakeService
	// fan is how many calls in turn the last service but one makes to the
	// last; 0 means one.
	fan  int
	rate func() float64
	// sent and good count requests for each second of the run, failed the
	// tries of callers that were not served.
	sent, good, failed []int
}

// chain is a run of requests through services.
type chain struct {
	*engine
	// ownTime tells that gates learn the target's own time and failures, and
	// not those of nested calls.
	ownTime bool
	// press tells gates of nested refusals.
	press bool
	// unordered gives each hop its own order.
	unordered bool
	traffic   []*traffic
	// join adds the traffic of a workspace, relative to the capacity.
	join func(workspace string, demand float64)
	// work counts calls that ran, and wasted those of tries that failed.
	work, wasted int
}

// try is one attempt of a caller.
type try struct {
	traffic  *traffic
	order    uint32
	deadline time.Time
	retries  int
	runs     int
}

func (c *chain) offer(t *traffic) {
	c.traffic = append(c.traffic, t)
	c.arrive(t)
}

func (c *chain) arrive(t *traffic) {
	rate := t.rate()
	if rate <= 0 {
		c.after(10*time.Millisecond, func() { c.arrive(t) })
		return
	}
	c.after(c.exponential(time.Duration(float64(time.Second)/rate)), func() {
		count(&t.sent, c.elapsed())
		c.attempt(t, 1)
		c.arrive(t)
	})
}

func (c *chain) attempt(t *traffic, number int) {
	a := &try{traffic: t, order: c.rng.Uint32(), deadline: c.now.Add(requestDeadline), retries: fleetRetries}
	c.hop(a, 0, func(ok bool) {
		c.work += a.runs
		ok = ok && !c.now.After(a.deadline)
		if ok {
			count(&t.good, c.elapsed())
			return
		}
		c.wasted += a.runs
		count(&t.failed, c.elapsed())
		if number < callerTries {
			c.after(c.workTime(callerPause), func() { c.attempt(t, number+1) })
		}
	})
}

// hop calls the service at a depth of the path.
func (c *chain) hop(a *try, depth int, done func(bool)) {
	if depth == len(a.traffic.path) {
		done(true)
		return
	}
	service := a.traffic.path[depth]
	target := c.pick(service)
	order := a.order
	if c.unordered {
		order = c.rng.Uint32()
	}
	entry := shed.Entry{
		Rank:      a.traffic.importance.Rank(),
		Nested:    depth > 0,
		Route:     a.traffic.route,
		Workspace: a.traffic.workspace,
		ShedOrder: order,
		Deadline:  a.deadline,
	}
	target.ask(entry, func(d gate.Decision) {
		switch {
		case d.Admitted:
			c.serve(a, depth, service, target, entry, done)
		case a.retries > 0 && c.now.Before(a.deadline):
			a.retries--
			c.hop(a, depth, done)
		default:
			done(false)
		}
	})
}

func (c *chain) serve(a *try, depth int, s *fakeService, t *fakeTarget, entry shed.Entry, done func(bool)) {
	began := c.now
	a.runs++
	t.run(s.work, func(ok bool) {
		worked := c.now
		if !ok {
			t.apply(t.gate.Release(c.now, gate.Completion{Entry: entry, Latency: c.now.Sub(began), Failed: true}))
			done(false)
			return
		}
		c.nested(a, depth+1, 1, func(ok bool) {
			t.free()
			end := gate.Completion{Entry: entry, Latency: c.now.Sub(began), Failed: !ok}
			if c.ownTime {
				end.Latency, end.Failed = worked.Sub(began), false
			}
			end.NestedShed = c.press && !ok
			t.apply(t.gate.Release(c.now, end))
			done(ok)
		})
	})
}

// nested makes the calls of a service to the next one of the path.
func (c *chain) nested(a *try, depth, number int, done func(bool)) {
	c.hop(a, depth, func(ok bool) {
		if ok && depth == len(a.traffic.path)-1 && number < a.traffic.fan {
			c.nested(a, depth, number+1, done)
			return
		}
		done(ok)
	})
}

// pick takes the less loaded of two random targets.
func (c *chain) pick(s *fakeService) *fakeTarget {
	a := s.targets[c.rng.IntN(len(s.targets))]
	b := s.targets[c.rng.IntN(len(s.targets))]
	if pressure(b) < pressure(a) {
		return b
	}
	return a
}

func pressure(t *fakeTarget) float64 {
	l := t.load()
	return float64(l.InFlight+l.Queued) / float64(l.Limit)
}

func count(seconds *[]int, at time.Duration) {
	second := int(at / time.Second)
	for len(*seconds) <= second {
		*seconds = append(*seconds, 0)
	}
	(*seconds)[second]++
}

// rate sums up seconds [from, to) of all traffic chosen and divides by them.
func rate(of []*traffic, seconds func(*traffic) []int, from, to int) float64 {
	sum := 0
	for _, t := range of {
		for second, n := range seconds(t) {
			if second >= from && second < to {
				sum += n
			}
		}
	}
	return float64(sum) / float64(to-from)
}

func good(t *traffic) []int { return t.good }
func sent(t *traffic) []int { return t.sent }

func failed(t *traffic) []int { return t.failed }
