package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/brake"
)

// overloadReasons are the refusals that speak of a service that is pressed.
var overloadReasons = map[gage.Reason]bool{
	gage.ReasonOverload: true, gage.ReasonQueueFull: true, gage.ReasonColdStart: true,
	gage.ReasonNoTarget: true, gage.ReasonDeadline: true,
}

// learn takes in how a request of this VM ended: a call of the target marks
// the runs above it, a caller's request teaches the brake.
func (m *Mesh) learn(q *request, r *reply) {
	now := m.options.Clock.Now()
	overloaded := r.overloaded
	unmet := r.reason == gage.ReasonNoTarget && !m.roster.HasSeenService(q.service)
	if r.outcome == gage.OutcomeNotRun && overloadReasons[r.reason] && !unmet {
		overloaded = q.service
	}
	if !q.nested {
		if overloaded == q.service {
			// The service's own gate refuses these.
			overloaded = ""
		}
		m.brake.Observe(now, q.work.route, overloaded)
		return
	}
	if overloaded != "" {
		m.sheds.add(now, overloaded)
	}
}

// steer moves the brake by what the nodes have told.
func (m *Mesh) steer(now time.Time) {
	s := m.site.Load()
	if s == nil {
		return
	}
	leads, pressure := m.roster.Pressure(now)
	var routes []brake.Route
	for i := range s.Config.Routes {
		if r := &s.Config.Routes[i]; !r.Open {
			routes = append(routes, brake.Route{Name: r.Name, Rank: r.Rank})
		}
	}
	m.brake.Adjust(now, routes, leads, pressure)
	for _, r := range routes {
		m.noteBrake(r.Name, leads[r.Name], pressure)
	}
}

// noteBrake logs when a route's requests begin to be refused here, and when
// all are let in again.
func (m *Mesh) noteBrake(route string, leads []string, pressure map[string]float64) {
	braked := m.brake.AdmissionProbability(route) < 1
	if braked == m.braked[route] {
		return
	}
	m.braked[route] = braked
	fields := []zap.Field{zap.String("Route", route), zap.Float64("Share", m.brake.AdmissionProbability(route))}
	for _, service := range leads {
		fields = append(fields, zap.Float64("Pressure."+service, pressure[service]))
	}
	if braked {
		m.log.info("RouteBraked", fields...)
		return
	}
	delete(m.braked, route)
	m.log.info("RouteReleased", fields...)
}
