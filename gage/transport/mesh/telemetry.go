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

// failureLinesPerSecond limits the log lines of a node about failed requests and
// other faults. servedLinesPerSecond limits the lines about requests that a target
// answered with a status below 500. The dropped lines are counted.
const (
	failureLinesPerSecond = 40
	servedLinesPerSecond  = 2
)

// requestLog logs the outcomes of requests at a limited rate.
type requestLog struct {
	logger *zap.Logger
	clock  gage.Clock
	mu     sync.Mutex
	// second is the Unix time, in seconds, to which failureLines and servedLines
	// apply.
	second int64
	// failureLines and servedLines count the lines written during that second.
	failureLines int
	servedLines  int
	droppedLines int
}

func newRequestLog(logger *zap.Logger, clock gage.Clock) *requestLog {
	return &requestLog{logger: logger, clock: clock}
}

// allowFailureLine reports whether another line about a failure may be written
// in this second, and counts it.
func (d *requestLog) allowFailureLine() bool {
	return d.allowLine(&d.failureLines, failureLinesPerSecond)
}

// allowLine adds one to lines and returns true, unless lines has reached limit
// in this second.
func (d *requestLog) allowLine(lines *int, limit int) bool {
	second := d.clock.Now().Unix()
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		d.second, d.failureLines, d.servedLines = second, 0, 0
	}
	if *lines >= limit {
		d.droppedLines++
		return false
	}
	*lines++
	return true
}

// flush logs how many lines were dropped since the last call, if any.
func (d *requestLog) flush() {
	d.mu.Lock()
	dropped := d.droppedLines
	d.droppedLines = 0
	d.mu.Unlock()
	if dropped > 0 {
		d.logger.Info("LinesLeftOut", zap.Int("Lines", dropped))
	}
}

func (d *requestLog) info(event string, fields ...zap.Field) {
	if d.allowFailureLine() {
		d.logger.Info(event, fields...)
	}
}

func (d *requestLog) warn(event string, fields ...zap.Field) {
	if d.allowFailureLine() {
		d.logger.Warn(event, fields...)
	}
}

// attemptFailed logs an attempt that got no response from the target or a
// status of 500 or more.
func (d *requestLog) attemptFailed(q *request, peer roster.Peer, r *attemptResult) {
	if r.reason == gage.ReasonNone && r.status < 500 || !d.allowFailureLine() {
		return
	}
	d.logger.Info("AttemptFailed", zap.String("RequestId", q.id), zap.String("Route", q.targetRequest.route), zap.String("Peer", peer.VM),
		zap.String("Target", peer.Target.ID), zap.Duration("StateAge", d.clock.Now().Sub(peer.UpdatedAt)), zap.String("Outcome", string(r.outcome)),
		zap.String("Reason", string(r.reason)), zap.Int("Status", r.status), zap.Int("Arrivals", q.arrivals), zap.String("Detail", r.detail))
}

// targetAnswered logs a request that a target answered.
func (d *requestLog) targetAnswered(q *request, r *attemptResult) {
	allowed := r.status >= http.StatusInternalServerError && d.allowFailureLine() ||
		r.status < http.StatusInternalServerError && d.allowLine(&d.servedLines, servedLinesPerSecond)
	if !allowed {
		return
	}
	d.logger.Info("Answered", zap.String("RequestId", q.id), zap.String("Route", q.targetRequest.route), zap.String("Workspace", q.targetRequest.workspace),
		zap.String("Target", q.expectedTarget), zap.Int("Status", r.status), zap.Int64("BodyBytes", q.length),
		zap.Int64("Generation", q.site.Config.Generation), zap.Int("Arrivals", q.arrivals), zap.Duration("Took", d.clock.Now().Sub(q.startedAt)))
}

// nodeAnswered logs a request that the node itself answered with an error.
func (d *requestLog) nodeAnswered(q *request, response errorResponse) {
	if !d.allowFailureLine() {
		return
	}
	generation := int64(0)
	if q.site != nil {
		generation = q.site.Config.Generation
	}
	d.logger.Info("Ended", zap.String("RequestId", q.id), zap.String("Route", q.targetRequest.route), zap.String("Workspace", q.targetRequest.workspace),
		zap.Int("Status", response.status), zap.String("Reason", string(response.reason)), zap.Int64("Generation", generation), zap.Int("Arrivals", q.arrivals),
		zap.Duration("Took", d.clock.Now().Sub(q.startedAt)), zap.Duration("RetryAfter", response.retryAfter), zap.String("Detail", response.detail))
}

// forwardFailed logs a forwarded request that the target on this VM did not
// answer.
func (d *requestLog) forwardFailed(w *targetRequest, r *attemptResult) {
	if r.reason == gage.ReasonNone || !d.allowFailureLine() {
		return
	}
	d.logger.Info("ForwardFailed", zap.String("RequestId", w.id), zap.String("Route", w.route), zap.String("Target", w.expectedTarget),
		zap.String("Outcome", string(r.outcome)), zap.String("Reason", string(r.reason)), zap.String("Detail", r.detail))
}

// stats are the node's counters.
type stats struct {
	set            *metrics.Set
	packetFailures *metrics.Counter
	targetDials    *metrics.Counter
	identityChecks *metrics.Counter
	// leftBeforeForward and leftBeforeRun count the requests whose sender had left when
	// they were to be sent to another node or to the target.
	leftBeforeForward *metrics.Counter
	leftBeforeRun     *metrics.Counter
	latency           *metrics.Histogram
	queueWait         *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:               set,
		packetFailures:    set.NewCounter("gage_states_failed_total"),
		targetDials:       set.NewCounter("gage_target_connections_total"),
		identityChecks:    set.NewCounter("gage_target_checks_total"),
		leftBeforeForward: set.NewCounter(`gage_senders_left_total{Before="Forward"}`),
		leftBeforeRun:     set.NewCounter(`gage_senders_left_total{Before="Run"}`),
		latency:           set.NewHistogram("gage_request_seconds"),
		queueWait:         set.NewHistogram("gage_queue_seconds"),
	}
}

func (s *stats) targetAnswered(route string, status int, elapsed time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gage_answers_total{Route=%q,Class="%dxx"}`, route, status/100)).Inc()
	s.latency.Update(elapsed.Seconds())
}

func (s *stats) nodeAnswered(status int, reason gage.Reason, elapsed time.Duration) {
	s.set.GetOrCreateCounter(`gage_refusals_total{Status="` + strconv.Itoa(status) + `",Reason="` + string(reason) + `"}`).Inc()
	s.latency.Update(elapsed.Seconds())
}

// tokenRequest counts the answer to a request of another node for tokens.
func (s *stats) tokenRequest(status gage.TokenStatus) {
	s.set.GetOrCreateCounter(`gage_token_requests_total{Status="` + string(status) + `"}`).Inc()
}
