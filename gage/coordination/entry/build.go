package entry

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

func newCall(id string, a Arrival) gage.Call {
	return gage.Call{
		RequestID:      id,
		Attempt:        1,
		IdempotencyKey: a.IdempotencyKey,
		Method:         a.Method,
		Path:           a.Path,
		Header:         a.Header,
		Body:           a.Body,
		TraceParent:    a.TraceParent,
	}
}

func withRoute(c gage.Call, route gage.Route) gage.Call {
	c.Route = route.Name
	c.Service = route.Service
	c.Importance = route.Importance
	c.Idempotent = route.Idempotent
	return c
}

// boundedTimeout returns the requested duration, but at most limit. If requested
// is 0, it returns limit.
func boundedTimeout(limit, requested time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

func (e *Entry) record(c gage.Call, event recent.Kind, target string, r gage.Result) {
	e.options.Recent.Add(recent.Event{
		At:        e.options.Clock.Now(),
		RequestID: c.RequestID,
		RootID:    c.RootID,
		VM:        e.options.VM,
		Event:     event,
		Target:    target,
		Attempt:   c.Attempt,
		Outcome:   r.Outcome,
		Reason:    r.Reason,
		Detail:    r.Detail,
		Workspace: c.Workspace,
		Route:     c.Route,
	})
}
