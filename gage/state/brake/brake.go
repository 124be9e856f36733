// Package brake throttles requests at their entry when a service further down
// the call chain is too overloaded to complete them. It learns which routes
// depend on which services from requests that fail because a service is
// overloaded. The pressure on a service, in [0, 1], is the moving average of the
// share of its requests that were delayed or refused.
package brake

import (
	"sort"
	"sync"
	"time"
)

const (
	// failureGain is the weight of one request in the moving share of requests
	// that failed because a service was overloaded.
	failureGain = 0.03
	// A route counts as depending on a service once the moving share of its
	// requests that failed because that service was overloaded reaches
	// dependencyThreshold. Occasional failures, such as errors that targets cause
	// themselves, stay below it.
	dependencyThreshold = 0.05
	// dependencyTTL is how long a route counts as depending on a service after
	// its failure share last reached dependencyThreshold.
	dependencyTTL = 90 * time.Second
	// pressureSetpoint is the pressure at which a service is well used:
	// admission probabilities fall while the pressure is higher and rise while it
	// is lower.
	pressureSetpoint = 0.4
	// minStepInterval is the minimum time between two steps. The requests that
	// a step admits take longer than this to affect the pressure.
	minStepInterval = 180 * time.Millisecond
	// minStepsAtFloor is the number of consecutive steps for which the least
	// important routes must be at minAdmission before more important ones are
	// throttled. The pressure falls only after these steps, because requests
	// admitted earlier take a while to finish.
	minStepsAtFloor = 8
	// initialDecrease is the share by which one step lowers the admission
	// probability at full pressure during the first initialSteps decreases of an
	// overload. laterDecrease is the share for further decreases. By then the
	// admission probability is about right. A larger decrease would leave services
	// idle until the probability has grown again.
	initialDecrease = 0.2
	initialSteps    = 5
	laterDecrease   = 0.1
	// overloadEndsAfter is the time without a decrease after which the overload
	// of a route counts as over.
	overloadEndsAfter = 10 * time.Second
	// One step without pressure raises the admission probability by
	// additiveIncrease plus proportionalIncrease times its present value.
	additiveIncrease     = 0.02
	proportionalIncrease = 0.25
	// The admission probability of a request that was refused before is
	// retryFactor times that of a new one plus retryBonus, because a second
	// refusal costs the caller more than a first one. With higher values, retries
	// would displace too many new requests. These would be retried in turn, and
	// nearly all responses would be late.
	retryFactor = 2
	retryBonus  = 0.02
	// retryAfterShare is the share of a caller's remaining time after which a
	// refused request may be retried, up to maxRetryAfter. Callers wait at most
	// a third of their remaining time.
	retryAfterShare = 0.25
	maxRetryAfter   = time.Second
	// earlyRetryShare is the share of the latency objective after which a
	// throttled request may be retried while the admission probability of its
	// route is at least earlyRetryAdmission. The retry may then still be answered
	// within the objective.
	earlyRetryShare     = 0.35
	earlyRetryAdmission = 0.05
	// minAdmission keeps some requests flowing, so that the recovery of a
	// service can be observed.
	minAdmission = 0.04
)

// Route is a route that callers use.
type Route struct {
	Name string
	// Rank orders routes by importance, 0 being the most important. Routes with
	// the highest rank number are throttled first.
	Rank int
}

// Brake holds the admission probability of each route. It is safe for
// concurrent use.
type Brake struct {
	mu     sync.Mutex
	routes map[string]*routeState
	// stepsAtFloor counts for each service the consecutive steps in which its
	// pressure was above the setpoint while the least important of the routes
	// that depend on it were at minAdmission.
	stepsAtFloor map[string]int
	// adjustedAt is the time of the last step.
	adjustedAt time.Time
}

// routeState is the admission probability of one route and its observed
// dependencies.
type routeState struct {
	// admissionProbability applies to new requests. It is in [minAdmission, 1].
	admissionProbability float64
	// decreases counts the steps of the present overload that lowered
	// admissionProbability; the last of them was at decreasedAt.
	decreases   int
	decreasedAt time.Time
	// failureShares holds, for each service, the moving average of the share of
	// the route's requests that failed because the service was overloaded.
	failureShares map[string]float64
	// dependencySeenAt holds, for each service, the time at which its failure
	// share was last at least dependencyThreshold.
	dependencySeenAt map[string]time.Time
}

// New returns a brake that admits all requests.
func New() *Brake {
	return &Brake{routes: make(map[string]*routeState), stepsAtFloor: make(map[string]int)}
}

func (b *Brake) routeState(route string) *routeState {
	s := b.routes[route]
	if s == nil {
		s = &routeState{admissionProbability: 1, failureShares: make(map[string]float64), dependencySeenAt: make(map[string]time.Time)}
		b.routes[route] = s
	}
	return s
}

// Admit reports whether a request of a route is admitted. A retry is a request
// that was refused before; random is uniform in [0, 1).
func (b *Brake) Admit(route string, isRetry bool, random float64) bool {
	probability := b.AdmissionProbability(route)
	if isRetry {
		probability = retryFactor*probability + retryBonus
	}
	return random < probability
}

// RetryAfter returns how long the caller of a refused request should wait
// before it retries. Throttled is true when Admit refused the request,
// latencyObjective is that of the route, and timeLeft is the remaining time of
// the caller. Random is uniform in [0, 1) and spreads the retries of many
// callers.
func (b *Brake) RetryAfter(route string, throttled bool, latencyObjective, timeLeft time.Duration, random float64) time.Duration {
	jitter := 0.5 + 0.5*random
	if throttled && b.AdmissionProbability(route) >= earlyRetryAdmission {
		return time.Duration(earlyRetryShare * jitter * float64(latencyObjective))
	}
	return time.Duration(jitter * min(retryAfterShare*float64(max(timeLeft, 0)), float64(maxRetryAfter)))
}

// AdmissionProbability returns the probability that a new request of a route is
// admitted, which is 1 for a route that was never throttled.
func (b *Brake) AdmissionProbability(route string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.routes[route]; s != nil {
		return s.admissionProbability
	}
	return 1
}

// Observe records the end of a request. Overloaded is the service whose
// overload made the request fail, or "" if there was none.
func (b *Brake) Observe(now time.Time, route, overloaded string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if overloaded == "" && b.routes[route] == nil {
		return
	}
	s := b.routeState(route)
	if _, known := s.failureShares[overloaded]; !known && overloaded != "" {
		s.failureShares[overloaded] = 0
	}
	for service, failureShare := range s.failureShares {
		failure := 0.0
		if service == overloaded {
			failure = 1
		}
		s.failureShares[service] = failureShare + failureGain*(failure-failureShare)
		if s.failureShares[service] >= dependencyThreshold {
			s.dependencySeenAt[service] = now
		}
	}
}

// Dependencies returns the services that each route depends on, sorted by name.
// It removes the dependencies that were last observed more than dependencyTTL
// ago.
func (b *Brake) Dependencies(now time.Time) map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string][]string)
	for route, s := range b.routes {
		for service, at := range s.dependencySeenAt {
			if now.Sub(at) > dependencyTTL {
				delete(s.dependencySeenAt, service)
				continue
			}
			all[route] = append(all[route], service)
		}
		sort.Strings(all[route])
	}
	return all
}

// Adjust moves the admission probabilities of the routes by one step, or does
// nothing if the last step was less than minStepInterval ago. Dependencies lists
// the services that each route depends on; pressure holds the pressure on each
// service, in [0, 1]. Of the routes that depend on a service, the least important
// are throttled first and restored last.
func (b *Brake) Adjust(now time.Time, routes []Route, dependencies map[string][]string, pressure map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.adjustedAt) < minStepInterval {
		return
	}
	b.adjustedAt = now
	routePressure := make(map[string]float64, len(routes))
	for _, r := range routes {
		for _, service := range dependencies[r.Name] {
			routePressure[r.Name] = max(routePressure[r.Name], pressure[service])
		}
	}
	for service := range servicesIn(dependencies) {
		b.adjustService(now, service, routesDependingOn(routes, dependencies, service), pressure[service], routePressure)
	}
	for _, r := range routes {
		if s := b.routes[r.Name]; s != nil && len(dependencies[r.Name]) == 0 {
			s.admissionProbability = increased(s.admissionProbability, 1)
		}
	}
}

func servicesIn(dependencies map[string][]string) map[string]bool {
	all := make(map[string]bool)
	for _, list := range dependencies {
		for _, service := range list {
			all[service] = true
		}
	}
	return all
}

// routesDependingOn returns the routes that depend on a service, the least
// important first.
func routesDependingOn(routes []Route, dependencies map[string][]string, service string) []Route {
	var dependents []Route
	for _, r := range routes {
		for _, s := range dependencies[r.Name] {
			if s == service {
				dependents = append(dependents, r)
			}
		}
	}
	sort.SliceStable(dependents, func(i, j int) bool { return dependents[i].Rank > dependents[j].Rank })
	return dependents
}

// adjustService moves the admission probabilities of the routes that depend on
// one service. Dependents lists these routes, the least important first.
// RoutePressure holds, for each route, the highest pressure on any service that
// the route depends on.
func (b *Brake) adjustService(now time.Time, service string, dependents []Route, pressure float64, routePressure map[string]float64) {
	if pressure > pressureSetpoint {
		adjustedRank, adjusted, skippedAtFloor := 0, false, false
		b.stepsAtFloor[service]++
		for _, r := range dependents {
			s := b.routeState(r.Name)
			if s.admissionProbability <= minAdmission && !adjusted {
				skippedAtFloor = true
				continue
			}
			if !skippedAtFloor {
				b.stepsAtFloor[service] = 0
			}
			if (adjusted && r.Rank != adjustedRank) || (skippedAtFloor && b.stepsAtFloor[service] < minStepsAtFloor) {
				break
			}
			adjustedRank, adjusted = r.Rank, true
			s.decrease(now, (pressure-pressureSetpoint)/(1-pressureSetpoint))
		}
		return
	}
	b.stepsAtFloor[service] = 0
	adjustedRank, adjusted := 0, false
	for i := len(dependents) - 1; i >= 0; i-- {
		r := dependents[i]
		s := b.routeState(r.Name)
		if s.admissionProbability >= 1 && !adjusted {
			continue
		}
		if adjusted && r.Rank != adjustedRank {
			break
		}
		adjustedRank, adjusted = r.Rank, true
		if routePressure[r.Name] <= pressureSetpoint {
			s.admissionProbability = increased(s.admissionProbability, 1-pressure/pressureSetpoint)
		}
	}
}

// decrease lowers the admission probability by one step; scale, in [0, 1], is 1
// for a full step.
func (s *routeState) decrease(now time.Time, scale float64) {
	if now.Sub(s.decreasedAt) > overloadEndsAfter {
		s.decreases = 0
	}
	s.decreasedAt = now
	s.decreases++
	factor := laterDecrease
	if s.decreases <= initialSteps {
		factor = initialDecrease
	}
	s.admissionProbability = max(minAdmission, s.admissionProbability*(1-factor*scale))
}

// increased returns the admission probability after one step up; scale, in
// [0, 1], is 1 for a full step.
func increased(probability, scale float64) float64 {
	return min(1, probability+scale*(additiveIncrease+proportionalIncrease*probability))
}
