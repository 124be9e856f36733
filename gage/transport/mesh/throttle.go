package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/brake"
)

// overloadReasons are the reasons for refusal that indicate an overloaded
// service.
var overloadReasons = map[gage.Reason]bool{
	gage.ReasonOverload: true, gage.ReasonQueueFull: true, gage.ReasonColdStart: true,
	gage.ReasonNoTarget: true, gage.ReasonDeadline: true,
}

// recordOutcome records whether a request of this VM failed because a service
// was overloaded. A failed call of the target is attributed to the requests that
// the target is running; the outcome of a caller's request is passed to m.brake.
func (m *Mesh) recordOutcome(q *request, r *attemptResult) {
	now := m.options.Clock.Now()
	overloadedService := r.overloadedService
	serviceUnknown := r.reason == gage.ReasonNoTarget && !m.roster.HasSeenService(q.service)
	if r.outcome == gage.OutcomeNotRun && overloadReasons[r.reason] && !serviceUnknown {
		overloadedService = q.service
	}
	if !q.isNested {
		if overloadedService == q.service {
			// The gates of the targets of this service already limit its load.
			overloadedService = ""
		}
		m.brake.Observe(now, q.targetRequest.route, overloadedService)
		return
	}
	if overloadedService != "" {
		m.calls.recordOverload(now, overloadedService)
	}
}

// adjustBrake adjusts the admission probability of each route to the pressure that
// the nodes report.
func (m *Mesh) adjustBrake(now time.Time) {
	s := m.site.Load()
	if s == nil {
		return
	}
	dependencies, pressure := m.roster.Pressure(now)
	var routes []brake.Route
	for i := range s.Config.Routes {
		if r := &s.Config.Routes[i]; !r.Open {
			routes = append(routes, brake.Route{Name: r.Name, Rank: r.Rank})
		}
	}
	m.brake.Adjust(now, routes, dependencies, pressure)
	for _, r := range routes {
		m.logThrottling(r.Name, dependencies[r.Name], pressure)
	}
}

// logThrottling logs when this node starts to throttle a route and when it
// admits all requests of the route again.
func (m *Mesh) logThrottling(route string, dependencies []string, pressure map[string]float64) {
	throttled := m.brake.AdmissionProbability(route) < 1
	if throttled == m.throttledRoutes[route] {
		return
	}
	m.throttledRoutes[route] = throttled
	fields := []zap.Field{zap.String("Route", route), zap.Float64("Share", m.brake.AdmissionProbability(route))}
	for _, service := range dependencies {
		fields = append(fields, zap.Float64("Pressure."+service, pressure[service]))
	}
	if throttled {
		m.log.info("RouteBraked", fields...)
		return
	}
	delete(m.throttledRoutes, route)
	m.log.info("RouteReleased", fields...)
}
