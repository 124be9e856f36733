// Package brake refuses new requests at their entry when a service further
// down the chain of calls could not finish them. Which routes lead to which
// service is learnt from the requests that failed there.
package brake

import (
	"sort"
	"sync"
	"time"
)

const (
	// markGain weighs one request in the moving share of those that failed
	// because a service was overloaded.
	markGain = 0.03
	// learntShare is the share of failures from which a route counts as
	// leading to a service. Targets' own errors stay below it.
	learntShare = 0.05
	// learntFor is how long a route counts as leading to a service after that
	// was last seen.
	learntFor = 90 * time.Second
	// aim is the pressure at which a service is well used.
	aim = 0.4
	// step is the time between two steps: what was let in takes longer than a
	// step to show.
	step = 180 * time.Millisecond
	// patience is for how many steps the least important routes are at the
	// floor before the next are lowered: what was let in takes a while to
	// finish.
	patience = 8
	// firstFall is the part by which admission falls in one step at full
	// pressure in the first steps of an overload, firstSteps of them; fall is
	// the part later on, when admission is about right and a deep cut would
	// leave services idle until it has grown again.
	firstFall  = 0.2
	firstSteps = 5
	fall       = 0.1
	// overFor is how long a route must go without a cut for an overload to be
	// over.
	overFor = 10 * time.Second
	// rise is how much admission grows in one step without pressure, and
	// riseBy by which part of itself it grows beside that.
	rise   = 0.02
	riseBy = 0.25
	// returningBy and returningPlus raise the admission of requests that come
	// back after a refusal: another would cost their callers the most. With
	// more, new requests are refused for them and come back in turn, until
	// nearly all that is served is late.
	returningBy   = 2
	returningPlus = 0.02
	// returnPart is the part of a caller's time after which a refused request
	// may come back, at most maxReturn; callers heed at most a third.
	returnPart = 0.25
	maxReturn  = time.Second
	// soonPart is the part of the latency objective after which a request may
	// come back when enough requests of its route are let in, soonShare of
	// them: it may still be answered in time.
	soonPart  = 0.35
	soonShare = 0.05
	// floor keeps some requests coming, to see when the service recovers.
	floor = 0.04
)

// Route is what the brake knows of a route that callers use.
type Route struct {
	Name string
	// Rank orders routes: those with the highest are braked first.
	Rank int
}

// Brake holds the admission of each route. It is safe for concurrent use.
type Brake struct {
	mu    sync.Mutex
	lanes map[string]*lane
	// waited counts the steps in which the least important routes to a service
	// were at the floor and it was still pressed.
	waited map[string]int
	// steppedAt is when admission last moved.
	steppedAt time.Time
}

type lane struct {
	// admit is the share of requests that enter, in [floor, 1].
	admit float64
	// cuts counts the steps of the present overload in which admission fell,
	// the last one at cutAt.
	cuts  int
	cutAt time.Time
	// marks is the moving share of requests that failed at each service.
	marks map[string]float64
	// learnt is when the route was last seen to lead to each service.
	learnt map[string]time.Time
}

// New returns a brake that is off.
func New() *Brake {
	return &Brake{lanes: make(map[string]*lane), waited: make(map[string]int)}
}

func (b *Brake) lane(route string) *lane {
	l := b.lanes[route]
	if l == nil {
		l = &lane{admit: 1, marks: make(map[string]float64), learnt: make(map[string]time.Time)}
		b.lanes[route] = l
	}
	return l
}

// Admit decides on one request; draw is uniform in [0, 1).
func (b *Brake) Admit(route string, returning bool, draw float64) bool {
	share := b.AdmissionProbability(route)
	if returning {
		share = returningBy*share + returningPlus
	}
	return draw < share
}

// RetryAfter returns after how long a refused request of a route may come back.
// Throttled tells that Admit refused it. Objective is its latency objective,
// left what is left of its caller's time. Draw is uniform in [0, 1) and spreads
// the return of many.
func (b *Brake) RetryAfter(route string, throttled bool, objective, left time.Duration, draw float64) time.Duration {
	spread := 0.5 + 0.5*draw
	if throttled && b.AdmissionProbability(route) >= soonShare {
		return time.Duration(soonPart * spread * float64(objective))
	}
	return time.Duration(spread * min(returnPart*float64(max(left, 0)), float64(maxReturn)))
}

// AdmissionProbability returns the share of a route's requests that enter.
func (b *Brake) AdmissionProbability(route string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.lanes[route]; l != nil {
		return l.admit
	}
	return 1
}

// Observe takes in the end of a request; overloaded names the service whose
// overload made it fail, or "".
func (b *Brake) Observe(now time.Time, route, overloaded string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if overloaded == "" && b.lanes[route] == nil {
		return
	}
	l := b.lane(route)
	if _, known := l.marks[overloaded]; !known && overloaded != "" {
		l.marks[overloaded] = 0
	}
	for service, share := range l.marks {
		hit := 0.0
		if service == overloaded {
			hit = 1
		}
		l.marks[service] = share + markGain*(hit-share)
		if l.marks[service] >= learntShare {
			l.learnt[service] = now
		}
	}
}

// Dependencies returns the services that each route was seen to lead to.
func (b *Brake) Dependencies(now time.Time) map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string][]string)
	for route, l := range b.lanes {
		for service, at := range l.learnt {
			if now.Sub(at) > learntFor {
				delete(l.learnt, service)
				continue
			}
			all[route] = append(all[route], service)
		}
		sort.Strings(all[route])
	}
	return all
}

// Adjust moves the admission of the routes one step, unless the last step was
// just now. Leads tells which services
// each route leads to, pressure how hard each service is pressed, in [0, 1].
// The least important routes to a service are lowered first and raised last.
func (b *Brake) Adjust(now time.Time, routes []Route, leads map[string][]string, pressure map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.steppedAt) < step {
		return
	}
	b.steppedAt = now
	pressed := make(map[string]float64, len(routes))
	for _, r := range routes {
		for _, service := range leads[r.Name] {
			pressed[r.Name] = max(pressed[r.Name], pressure[service])
		}
	}
	for service := range services(leads) {
		b.steerOne(now, service, routesTo(routes, leads, service), pressure[service], pressed)
	}
	for _, r := range routes {
		if l := b.lanes[r.Name]; l != nil && len(leads[r.Name]) == 0 {
			l.admit = raised(l.admit, 1)
		}
	}
}

func services(leads map[string][]string) map[string]bool {
	all := make(map[string]bool)
	for _, list := range leads {
		for _, service := range list {
			all[service] = true
		}
	}
	return all
}

// routesTo returns the routes that lead to a service, the least important
// first.
func routesTo(routes []Route, leads map[string][]string, service string) []Route {
	var to []Route
	for _, r := range routes {
		for _, s := range leads[r.Name] {
			if s == service {
				to = append(to, r)
			}
		}
	}
	sort.SliceStable(to, func(i, j int) bool { return to[i].Rank > to[j].Rank })
	return to
}

func (b *Brake) steerOne(now time.Time, service string, to []Route, pressure float64, pressed map[string]float64) {
	if pressure > aim {
		rank, found, next := 0, false, false
		b.waited[service]++
		for _, r := range to {
			l := b.lane(r.Name)
			if l.admit <= floor && !found {
				next = true
				continue
			}
			if !next {
				b.waited[service] = 0
			}
			if (found && r.Rank != rank) || (next && b.waited[service] < patience) {
				break
			}
			rank, found = r.Rank, true
			l.cut(now, (pressure-aim)/(1-aim))
		}
		return
	}
	b.waited[service] = 0
	rank, found := 0, false
	for i := len(to) - 1; i >= 0; i-- {
		r := to[i]
		l := b.lane(r.Name)
		if l.admit >= 1 && !found {
			continue
		}
		if found && r.Rank != rank {
			break
		}
		rank, found = r.Rank, true
		if pressed[r.Name] <= aim {
			l.admit = raised(l.admit, 1-pressure/aim)
		}
	}
}

// cut lowers the admission; part is in [0, 1].
func (l *lane) cut(now time.Time, part float64) {
	if now.Sub(l.cutAt) > overFor {
		l.cuts = 0
	}
	l.cutAt = now
	l.cuts++
	by := fall
	if l.cuts <= firstSteps {
		by = firstFall
	}
	l.admit = max(floor, l.admit*(1-by*part))
}

// raised returns the next higher admission; part is in [0, 1].
func raised(admit, part float64) float64 {
	return min(1, admit+part*(rise+riseBy*admit))
}
