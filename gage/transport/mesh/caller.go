package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/state/site"
)

const (
	// queuePart is the part of a route's latency objective that a new request
	// may wait for a slot: a refusal that comes late helps nobody.
	queuePart = 4
	minQueue  = 15 * time.Millisecond
	// noObjective stands in for the objective of a route without one.
	noObjective = time.Second
	// answerMargin is kept of the caller's time so that a final answer still
	// reaches the caller.
	answerMargin = 10 * time.Millisecond
	// maxPicks is how many targets are tried for one request, those included
	// that did not let it in.
	maxPicks = 4
	// confirmPart is the part of the bound for withdrawn keys that the
	// operators' documents may go unconfirmed.
	confirmPart = 0.88
	// maxReturn is the longest time after which a refused caller is told to
	// come back.
	maxReturn = time.Second
	// rateReturn is the part of the latency objective after which a caller
	// beyond its rate may come back at the earliest.
	rateReturn = 0.175
	// firstPart is the part of the longest time seen on a route from which a
	// request counts as a first attempt: callers spend their time waiting.
	firstPart = 0.97
)

// request is a caller's request with what was decided for it.
type request struct {
	work
	site      *site.Site
	route     *gage.Route
	workspace *gage.Workspace
	began     time.Time
	// returning tells that the caller has waited and comes back.
	returning bool
	objective time.Duration
	// arrivals counts the targets that the request was sent to.
	arrivals int
	// doubtful tells that an attempt may have run.
	doubtful bool
	tried    []string
}

// end is the final answer of the node itself.
type end struct {
	status     int
	reason     gage.Reason
	retryAfter time.Duration
	detail     string
}

// serveCaller serves a request that begins on this VM.
func (m *Mesh) serveCaller(rw http.ResponseWriter, r *http.Request) {
	open := m.flights.enter()
	defer m.flights.leave()
	now := m.options.Clock.Now()
	if !open {
		q := &request{began: now}
		q.id = r.Header.Get(m.options.HeaderNames.RequestID)
		m.finish(rw, q, end{status: http.StatusServiceUnavailable, reason: gage.ReasonStopping, retryAfter: maxReturn / 4})
		return
	}
	q, refusal := m.readCaller(now, r)
	if refusal != nil {
		m.finish(rw, q, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	m.spend.Earn(q.service, m.repeatRatio(q.service))
	if q.nested {
		m.sheds.called(now)
	}
	if !q.nested && !m.brake.Admit(q.route.Name, q.returning, rand.Float64()) {
		m.giveBack(q)
		m.finish(rw, q, m.ending(q, refused(gage.ReasonThrottled, "services further down are overloaded")))
		return
	}
	result := m.attempts(ctx, q)
	defer result.close()
	m.learn(q, &result)
	if result.reason != gage.ReasonNone {
		m.giveBack(q)
		m.finish(rw, q, m.ending(q, result))
		return
	}
	h := rw.Header()
	for name, values := range passing(result.header) {
		h[name] = values
	}
	if m.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	m.stats.answered(q.route.Name, result.status, m.options.Clock.Now().Sub(q.began))
	m.log.answered(q, &result)
	writeAnswer(rw, &result)
}

// readCaller decides whether a request may enter at all.
func (m *Mesh) readCaller(now time.Time, r *http.Request) (*request, *end) {
	names := m.options.HeaderNames
	q := &request{began: now, work: work{method: r.Method, target: r.RequestURI, host: r.Host, caller: m.options.Self.Service}}
	q.id = r.Header.Get(names.RequestID)
	q.site = m.site.Load()
	if q.site == nil {
		return q, &end{status: http.StatusServiceUnavailable, reason: gage.ReasonNoConfig, retryAfter: maxReturn / 2}
	}
	if q.id == "" || len(r.Header[names.RequestID]) > 1 || len(r.Header[names.Key]) > 1 || !strings.HasPrefix(r.RequestURI, "/") {
		return q, &end{status: http.StatusBadRequest, reason: gage.ReasonBadRequest}
	}
	limits := q.site.Config.Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return q, &end{status: http.StatusRequestHeaderFieldsTooLarge, reason: gage.ReasonTooLarge}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return q, &end{status: http.StatusRequestEntityTooLarge, reason: gage.ReasonTooLarge}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, found := q.site.Route(r.Host, path)
	if !found {
		return q, &end{status: http.StatusNotFound, reason: gage.ReasonNoRoute}
	}
	q.route, q.work.route = route, route.Name
	q.repeatable = route.Idempotent
	if m.tooLate(now, route.Open) {
		return q, &end{status: http.StatusServiceUnavailable, reason: gage.ReasonStopping, retryAfter: maxReturn / 4}
	}
	if refusal := m.readTimes(now, q, r.Header.Get(names.DeadlineMillis)); refusal != nil {
		return q, refusal
	}
	if refusal := m.readKey(now, q, r.Header.Get(names.Key)); refusal != nil {
		return q, refusal
	}
	q.header = passing(r.Header)
	for _, name := range []string{names.RequestID, names.DeadlineMillis, names.Key, names.Workspace, names.ExpectedTarget, names.CallerService} {
		delete(q.header, name)
	}
	if limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	}
	if err := m.readBody(&q.work, r); err != nil {
		m.giveBack(q)
		return q, bodyRefusal(err)
	}
	q.service = site.PickService(route, rand.Float64())
	return q, nil
}

// headerBytes returns the size of a request's head, as it was sent.
func headerBytes(r *http.Request) int {
	const lineEnd, colon, protocol = 2, 2, 11
	size := len(r.Method) + len(r.RequestURI) + protocol + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + colon + len(value) + lineEnd
		}
	}
	return size
}

func bodyRefusal(err error) *end {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &end{status: http.StatusRequestEntityTooLarge, reason: gage.ReasonTooLarge}
	}
	return &end{status: http.StatusBadRequest, reason: gage.ReasonBadRequest, detail: err.Error()}
}

// readTimes sets until when the request may wait and run.
func (m *Mesh) readTimes(now time.Time, q *request, header string) *end {
	budget := q.route.Deadline
	if header != "" {
		asked, err := strconv.ParseFloat(header, 64)
		if err != nil || asked < 0 {
			return &end{status: http.StatusBadRequest, reason: gage.ReasonBadRequest, detail: "the deadline is not a number of milliseconds"}
		}
		q.returning = m.times.returning(q.route.Name, asked)
		callers := time.Duration(asked*float64(time.Millisecond)) - answerMargin
		q.ends = now.Add(callers)
		if budget <= 0 || callers < budget {
			budget = callers
		}
	}
	q.deadline = now.Add(budget)
	if q.ends.Before(q.deadline) {
		q.ends = q.deadline
	}
	q.objective = q.route.Objective
	if q.objective <= 0 {
		q.objective = noObjective
	}
	q.nested = q.route.Open
	q.rank = q.route.Rank
	q.until = now.Add(max(q.objective/queuePart, minQueue))
	if q.nested || q.until.After(q.deadline) {
		q.until = q.deadline
	}
	return nil
}

// readKey finds the workspace of a request and takes one of its rate.
func (m *Mesh) readKey(now time.Time, q *request, key string) *end {
	if q.route.Open || len(q.site.Config.Workspaces) == 0 {
		return nil
	}
	w, known := q.site.WorkspaceByKey(key)
	if !known {
		return &end{status: http.StatusUnauthorized, reason: gage.ReasonUnknownKey}
	}
	q.work.workspace = w.Name
	bounds := m.bounds.Load()
	_, confirmed := m.mirror.Latest()
	if bounds.RevokeEverywhere && now.Sub(confirmed) > time.Duration(confirmPart*float64(bounds.RevocationDelay)) {
		return &end{
			status: http.StatusServiceUnavailable, reason: gage.ReasonNotConfirmed, retryAfter: maxReturn / 2,
			detail: "the configuration was last confirmed " + now.Sub(confirmed).String() + " ago",
		}
	}
	if ok, wait := m.ration.Take(now, w.Name, q.returning); !ok {
		return &end{status: http.StatusTooManyRequests, reason: gage.ReasonOverRate, retryAfter: max(wait, time.Duration(rateReturn*float64(q.objective)))}
	}
	if m.ration.ConsumeGrowth() {
		m.tellSoon()
	}
	q.workspace = w
	if w.HasRank {
		q.rank = w.Rank
	}
	return nil
}

// giveBack returns what a request took of its workspace's rate when it has not
// run.
func (m *Mesh) giveBack(q *request) {
	if q.workspace != nil && !q.doubtful {
		m.ration.Return(m.options.Clock.Now(), q.workspace.Name)
	}
}

// attempts sends a request to targets until one answers or no other may.
func (m *Mesh) attempts(ctx context.Context, q *request) reply {
	last := refused(gage.ReasonNoTarget, "no target of the service takes requests")
	for range maxPicks {
		now := m.options.Clock.Now()
		if q.arrivals > 0 && !m.mayRepeat(now, q) {
			break
		}
		peer, ok := m.roster.Pick(now, q.service, q.tried)
		if !ok {
			break
		}
		q.tried = append(q.tried, peer.VM)
		q.expected = peer.Target.ID
		r := m.send(ctx, peer, q)
		m.observe(peer, r)
		q.doubtful = q.doubtful || r.outcome == gage.OutcomeUnknown
		if r.outcome != gage.OutcomeNotRun || r.arrived {
			q.arrivals++
		}
		m.log.attempt(q, peer, &r)
		if !m.another(ctx, q, &r) {
			return r
		}
		r.close()
		last = r
	}
	return last
}

func (m *Mesh) send(ctx context.Context, peer roster.Peer, q *request) reply {
	if peer.VM == m.options.Self.VM {
		q.local = true
		return m.runBeside(ctx, &q.work)
	}
	q.local = false
	return m.forward(ctx, peer.Address, &q.work)
}

// observe tells the roster how an attempt ended.
func (m *Mesh) observe(peer roster.Peer, r reply) {
	outcome := roster.Served
	switch {
	case r.unreached:
		outcome = roster.Unreached
	case r.reason == gage.ReasonCanceled:
		outcome = roster.Abandoned
	case r.outcome == gage.OutcomeNotRun && !r.arrived:
		outcome = roster.Refused
	case r.reason == gage.ReasonNone && r.overloaded != "":
		outcome = roster.Blocked
	case r.reason != gage.ReasonNone, r.status == http.StatusInternalServerError:
		outcome = roster.Failed
	}
	m.roster.Observe(m.options.Clock.Now(), peer.VM, outcome, r.load)
}

// another reports whether a request goes on to another target after r.
func (m *Mesh) another(ctx context.Context, q *request, r *reply) bool {
	if ctx.Err() != nil || q.rest != nil {
		return false
	}
	switch r.outcome {
	case gage.OutcomeNotRun:
		return true
	case gage.OutcomeUnknown:
		return q.repeatable
	case gage.OutcomeRan:
	}
	failed := r.status == http.StatusInternalServerError && q.repeatable && !q.nested
	return failed && q.arrivals < maxArrivals(q.route) && m.options.Clock.Now().Sub(q.began) < q.objective/2
}

func maxArrivals(r *gage.Route) int {
	return max(r.MaxAttempts, 1)
}

// mayRepeat reports whether a request that has arrived at a target may be sent
// to one more, and takes the repeat from the budget.
func (m *Mesh) mayRepeat(now time.Time, q *request) bool {
	return q.arrivals < maxArrivals(q.route) && now.Before(q.deadline) && m.spend.Spend(q.service)
}

// ending is the final answer to a request that no target answered.
func (m *Mesh) ending(q *request, r reply) end {
	e := end{reason: r.reason, detail: r.detail}
	switch {
	case r.reason == gage.ReasonDeadline && (q.doubtful || r.outcome == gage.OutcomeUnknown):
		e.status = http.StatusGatewayTimeout
	case q.doubtful || r.outcome != gage.OutcomeNotRun:
		e.status = http.StatusBadGateway
	default:
		e.status = http.StatusServiceUnavailable
		e.retryAfter = m.comeBack(q, r.reason, rand.Float64())
	}
	return e
}

// comeBack is when a refused caller may return.
func (m *Mesh) comeBack(q *request, reason gage.Reason, draw float64) time.Duration {
	left := q.deadline.Sub(m.options.Clock.Now())
	return m.brake.RetryAfter(q.route.Name, reason == gage.ReasonThrottled, q.objective, left, draw)
}

// finish writes the node's own final answer.
func (m *Mesh) finish(rw http.ResponseWriter, q *request, e end) {
	h := rw.Header()
	if q.id != "" {
		h[m.options.HeaderNames.RequestID] = []string{q.id}
	}
	if e.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 3, 64)}
	}
	if m.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	m.stats.ended(e.status, e.reason, m.options.Clock.Now().Sub(q.began))
	m.log.ended(q, e)
	rw.WriteHeader(e.status)
}
