// Package tally counts callers' requests by outcome and reason, for each route
// and each workspace, and measures the latency of each route.
package tally

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagewind/greengagewind/gage"
)

// maxSeries is the maximum number of counters on one node, and separately the
// maximum number of histograms. It is needed because routes and workspaces come and go with
// configuration changes, but their series are never removed. Requests for which
// there is no counter are counted in gage_requests_uncounted_total.
const maxSeries = 4096

// series identifies one counter.
type series struct {
	metric string
	// labelName is Route or Workspace.
	labelName  string
	labelValue string
	outcome    gage.Outcome
	reason     gage.Reason
}

// Tally counts requests. It is safe for concurrent use.
type Tally struct {
	set       *metrics.Set
	uncounted *metrics.Counter
	mu        sync.RWMutex
	counters  map[series]*metrics.Counter
	// latencies holds the histogram of each route.
	latencies map[string]*metrics.Histogram
}

// New returns a tally that registers its metrics in set.
func New(set *metrics.Set) *Tally {
	return &Tally{
		set:       set,
		uncounted: set.GetOrCreateCounter("gage_requests_uncounted_total"),
		counters:  make(map[series]*metrics.Counter),
		latencies: make(map[string]*metrics.Histogram),
	}
}

// CountRequest counts a finished request of a caller, and records its latency if
// r.Reason is ReasonNone. The call's Route and Workspace are "" when the
// request was refused before they were determined.
func (t *Tally) CountRequest(c gage.Call, r gage.Result, latency time.Duration) {
	t.counter(series{"gage_route_requests_total", "Route", c.Route, r.Outcome, r.Reason}).Inc()
	t.counter(series{"gage_workspace_requests_total", "Workspace", c.Workspace, r.Outcome, r.Reason}).Inc()
	if r.Reason != gage.ReasonNone {
		return
	}
	if h := t.histogram(c.Route); h != nil {
		h.Update(latency.Seconds())
	}
}

// counter returns the counter of a series. If the series is new and maxSeries
// counters already exist, it returns t.uncounted.
func (t *Tally) counter(s series) *metrics.Counter {
	t.mu.RLock()
	counter, known := t.counters[s]
	t.mu.RUnlock()
	if known {
		return counter
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.counters) >= maxSeries {
		return t.uncounted
	}
	counter = t.set.GetOrCreateCounter(fmt.Sprintf(
		"%s{%s=%q,Outcome=%q,Reason=%q}", s.metric, s.labelName, s.labelValue, s.outcome, s.reason))
	t.counters[s] = counter
	return counter
}

// histogram returns the latency histogram of a route. If the route is new and
// maxSeries histograms already exist, it returns nil.
func (t *Tally) histogram(route string) *metrics.Histogram {
	t.mu.RLock()
	h, known := t.latencies[route]
	t.mu.RUnlock()
	if known {
		return h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.latencies) >= maxSeries {
		return nil
	}
	h = t.set.GetOrCreateHistogram(fmt.Sprintf("gage_route_seconds{Route=%q}", route))
	t.latencies[route] = h
	return h
}
