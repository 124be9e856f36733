package mesh

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
)

// linesPerSecond bounds the lines about single requests that failed,
// servedPerSecond those about requests that were served, on each node. The
// lines left out are counted.
const (
	linesPerSecond  = 40
	servedPerSecond = 2
)

// decisions logs what was decided for requests, within a bound.
type decisions struct {
	logger *zap.Logger
	clock  gage.Clock
	mu     sync.Mutex
	second int64
	// lines and served count what was written in second.
	lines  int
	served int
	left   int
}

func newDecisions(logger *zap.Logger, clock gage.Clock) *decisions {
	return &decisions{logger: logger, clock: clock}
}

// room reports whether another line may be written in this second.
func (d *decisions) room() bool { return d.count(&d.lines, linesPerSecond) }

// count adds one to the lines of this second unless they have reached most.
func (d *decisions) count(lines *int, most int) bool {
	second := d.clock.Now().Unix()
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		d.second, d.lines, d.served = second, 0, 0
	}
	if *lines >= most {
		d.left++
		return false
	}
	*lines++
	return true
}

// flush tells how many lines were left out.
func (d *decisions) flush() {
	d.mu.Lock()
	left := d.left
	d.left = 0
	d.mu.Unlock()
	if left > 0 {
		d.logger.Info("LinesLeftOut", zap.Int("Lines", left))
	}
}

func (d *decisions) info(event string, fields ...zap.Field) {
	if d.room() {
		d.logger.Info(event, fields...)
	}
}

func (d *decisions) warn(event string, fields ...zap.Field) {
	if d.room() {
		d.logger.Warn(event, fields...)
	}
}

// attempt logs an attempt that brought no answer.
func (d *decisions) attempt(q *request, peer roster.Peer, r *reply) {
	if r.reason == gage.ReasonNone && r.status < 500 || !d.room() {
		return
	}
	d.logger.Info("AttemptFailed", zap.String("RequestId", q.id), zap.String("Route", q.work.route), zap.String("Peer", peer.VM),
		zap.String("Target", peer.Target.ID), zap.Duration("StateAge", d.clock.Now().Sub(peer.UpdatedAt)), zap.String("Outcome", string(r.outcome)),
		zap.String("Reason", string(r.reason)), zap.Int("Status", r.status), zap.Int("Arrivals", q.arrivals), zap.String("Detail", r.detail))
}

// answered logs a request that a target answered.
func (d *decisions) answered(q *request, r *reply) {
	room := r.status >= http.StatusInternalServerError && d.room() ||
		r.status < http.StatusInternalServerError && d.count(&d.served, servedPerSecond)
	if !room {
		return
	}
	d.logger.Info("Answered", zap.String("RequestId", q.id), zap.String("Route", q.work.route), zap.String("Workspace", q.work.workspace),
		zap.String("Target", q.expected), zap.Int("Status", r.status),
		zap.Int64("Generation", q.site.Config.Generation), zap.Int("Arrivals", q.arrivals), zap.Duration("Took", d.clock.Now().Sub(q.began)))
}

// ended logs a request that the node itself answered.
func (d *decisions) ended(q *request, e end) {
	if !d.room() {
		return
	}
	generation := int64(0)
	if q.site != nil {
		generation = q.site.Config.Generation
	}
	d.logger.Info("Ended", zap.String("RequestId", q.id), zap.String("Route", q.work.route), zap.String("Workspace", q.work.workspace),
		zap.Int("Status", e.status), zap.String("Reason", string(e.reason)), zap.Int64("Generation", generation), zap.Int("Arrivals", q.arrivals),
		zap.Duration("Took", d.clock.Now().Sub(q.began)), zap.Duration("RetryAfter", e.retryAfter), zap.String("Detail", e.detail))
}

// run logs a request of another node that the target here did not answer.
func (d *decisions) run(w *work, r *reply) {
	if r.reason == gage.ReasonNone || !d.room() {
		return
	}
	d.logger.Info("ForwardFailed", zap.String("RequestId", w.id), zap.String("Route", w.route), zap.String("Target", w.expected),
		zap.String("Outcome", string(r.outcome)), zap.String("Reason", string(r.reason)), zap.String("Detail", r.detail))
}

// stats are the node's counters.
type stats struct {
	set         *metrics.Set
	newsFailed  *metrics.Counter
	targetDials *metrics.Counter
	checks      *metrics.Counter
	latency     *metrics.Histogram
	queued      *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:         set,
		newsFailed:  set.NewCounter("gage_states_failed_total"),
		targetDials: set.NewCounter("gage_target_connections_total"),
		checks:      set.NewCounter("gage_target_checks_total"),
		latency:     set.NewHistogram("gage_request_seconds"),
		queued:      set.NewHistogram("gage_queue_seconds"),
	}
}

func (s *stats) answered(route string, status int, took time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gage_answers_total{Route=%q,Class="%dxx"}`, route, status/100)).Inc()
	s.latency.Update(took.Seconds())
}

func (s *stats) ended(status int, reason gage.Reason, took time.Duration) {
	s.set.GetOrCreateCounter(`gage_refusals_total{Status="` + strconv.Itoa(status) + `",Reason="` + string(reason) + `"}`).Inc()
	s.latency.Update(took.Seconds())
}
