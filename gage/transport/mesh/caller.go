package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/state/site"
)

const (
	// A new request may wait for a slot for 1/queueWaitDivisor of the latency
	// objective of its route, at least minQueueWait. A refusal after a longer wait
	// would leave the caller too little time to retry.
	queueWaitDivisor = 4
	minQueueWait     = 15 * time.Millisecond
	// defaultObjective is the latency objective of a route without one.
	defaultObjective = time.Second
	// responseMargin is how much earlier than the caller's deadline the node's own
	// deadline is, so that a response sent at the last moment still reaches the
	// caller.
	responseMargin = 10 * time.Millisecond
	// maxTargetsTried is the maximum number of targets tried for one request,
	// including targets that the request did not reach.
	maxTargetsTried = 4
	// maxUnconfirmedShare is the share of Bounds.RevocationDelay for which the
	// operators' documents may be unconfirmed before keys are refused.
	maxUnconfirmedShare = 0.88
	// The Retry-After of a refusal that has nothing to do with load is a fraction
	// of retryAfterBase. Such a refusal comes from a node that is stopping or lacks
	// a current configuration.
	retryAfterBase = time.Second
	// Retry-After for a request over the rate of its workspace is at least
	// overRateRetryAfterShare of the latency objective of its route.
	overRateRetryAfterShare = 0.175
	// A request counts as a first attempt if its remaining time is at least
	// firstAttemptShare of the longest one observed on its route. A retry has
	// less time left, since the caller waited before it.
	firstAttemptShare = 0.97
)

// request is a caller's request with its routing and retry state.
type request struct {
	targetRequest
	site      *site.Site
	route     *gage.Route
	workspace *gage.Workspace
	// tokenExpiresAt is when the token taken for the request expires, zero if none was
	// taken.
	tokenExpiresAt time.Time
	startedAt      time.Time
	// isCallerRetry is true if the caller was probably refused before and
	// retries.
	isCallerRetry    bool
	latencyObjective time.Duration
	// arrivals counts the attempts that reached, or may have reached, a target.
	arrivals int
	// mayHaveRun is true if an attempt ended with an unknown outcome.
	mayHaveRun bool
	triedVMs   []string
}

// errorResponse is a response that the node makes itself, because no target
// has answered.
type errorResponse struct {
	status     int
	reason     gage.Reason
	retryAfter time.Duration
	detail     string
}

// serveCaller serves a request of a caller on this VM.
func (m *Mesh) serveCaller(rw http.ResponseWriter, r *http.Request) {
	accepted := m.requests.begin()
	defer m.requests.end()
	now := m.options.Clock.Now()
	if !accepted {
		q := &request{startedAt: now}
		q.id = r.Header.Get(m.options.HeaderNames.RequestID)
		m.writeError(rw, q, errorResponse{status: http.StatusServiceUnavailable, reason: gage.ReasonStopping, retryAfter: retryAfterBase / 4})
		return
	}
	body := respondBeforeBody(rw, r)
	defer func() { body.drain(m.options.Clock.Now(), rw) }()
	q, refusal := m.readCallerRequest(now, r)
	defer func() { m.spool.Release(q.bufferedBytes) }()
	if refusal == nil {
		refusal = m.admit(now, q, rw, r)
	}
	if refusal != nil {
		body.announceClose(rw)
		m.writeError(rw, q, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.giveUpAt)
	defer cancel()
	if q.isNested {
		m.calls.recordCall(now)
	}
	result := m.tryTargets(ctx, q)
	defer result.close()
	body.announceClose(rw)
	m.recordOutcome(q, &result)
	if result.reason != gage.ReasonNone {
		m.returnToken(q)
		m.writeError(rw, q, m.errorFor(q, result))
		return
	}
	h := rw.Header()
	for name, values := range forwardableHeaders(result.header) {
		h[name] = values
	}
	if m.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	m.stats.targetAnswered(q.route.Name, result.status, m.options.Clock.Now().Sub(q.startedAt))
	m.log.targetAnswered(q, &result)
	writeResponse(rw, &result)
}

// readCallerRequest validates the header of a request and finds its route and
// workspace. The second result is nil if the request is valid.
func (m *Mesh) readCallerRequest(now time.Time, r *http.Request) (*request, *errorResponse) {
	names := m.options.HeaderNames
	q := &request{startedAt: now, targetRequest: targetRequest{method: r.Method, requestURI: r.RequestURI, host: r.Host, callerService: *m.service.Load()}}
	q.id = r.Header.Get(names.RequestID)
	q.site = m.site.Load()
	if q.site == nil {
		return q, &errorResponse{status: http.StatusServiceUnavailable, reason: gage.ReasonNoConfig, retryAfter: retryAfterBase / 2}
	}
	if q.id == "" || len(r.Header[names.RequestID]) > 1 || len(r.Header[names.Key]) > 1 || !strings.HasPrefix(r.RequestURI, "/") {
		return q, &errorResponse{status: http.StatusBadRequest, reason: gage.ReasonBadRequest}
	}
	limits := q.site.Config.Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return q, &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, reason: gage.ReasonTooLarge}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return q, &errorResponse{status: http.StatusRequestEntityTooLarge, reason: gage.ReasonTooLarge}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, found := q.site.Route(r.Host, path)
	if !found {
		return q, &errorResponse{status: http.StatusNotFound, reason: gage.ReasonNoRoute}
	}
	q.route, q.targetRequest.route = route, route.Name
	q.idempotent = route.Idempotent
	if route.Refusal != "" {
		return q, &errorResponse{status: http.StatusServiceUnavailable, reason: gage.ReasonRouteRefused, retryAfter: retryAfterBase, detail: route.Refusal}
	}
	if m.refusesNewRequests(now, route.Open) {
		return q, &errorResponse{status: http.StatusServiceUnavailable, reason: gage.ReasonStopping, retryAfter: retryAfterBase / 4}
	}
	if refusal := m.readDeadline(now, q, r.Header.Get(names.DeadlineMillis)); refusal != nil {
		return q, refusal
	}
	if refusal := m.findWorkspace(now, q, r.Header.Get(names.Key)); refusal != nil {
		return q, refusal
	}
	q.header = forwardableHeaders(r.Header)
	for _, name := range []string{names.RequestID, names.DeadlineMillis, names.Key, names.Workspace, names.ExpectedTarget, names.CallerService} {
		delete(q.header, name)
	}
	q.service = site.PickService(route, rand.Float64())
	return q, nil
}

// admit decides whether a valid request is sent to a target: it asks the brake, takes a
// token of the workspace's rate, and reads the body or its beginning. It returns nil if
// the request is admitted.
func (m *Mesh) admit(now time.Time, q *request, rw http.ResponseWriter, r *http.Request) *errorResponse {
	m.retryBudget.Earn(q.service, m.retryRatio(q.service))
	if !q.isNested && !m.brake.Admit(q.route.Name, q.isCallerRetry, rand.Float64()) {
		refusal := m.errorFor(q, notRun(gage.ReasonThrottled, "a service further down the call chain is overloaded"))
		return &refusal
	}
	if refusal := m.takeToken(r.Context(), now, q); refusal != nil {
		return refusal
	}
	if limit := q.site.Config.Limits.BodyBytes; limit > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limit)
	}
	if err := m.readBody(&q.targetRequest, rw, r); err != nil {
		m.returnToken(q)
		return bodyError(err)
	}
	return nil
}

// headerBytes returns the size of the request line and header, as sent.
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

func bodyError(err error) *errorResponse {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: gage.ReasonTooLarge}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &errorResponse{status: http.StatusRequestTimeout, reason: gage.ReasonDeadline, detail: "the body did not arrive before the deadline"}
	}
	return &errorResponse{status: http.StatusBadRequest, reason: gage.ReasonBadRequest, detail: err.Error()}
}

// readDeadline sets the deadlines until which the request may wait and run, and
// the fields derived from its route. Header is the caller's deadline in
// milliseconds, or "".
func (m *Mesh) readDeadline(now time.Time, q *request, header string) *errorResponse {
	budget := q.route.Deadline
	if header != "" {
		millisLeft, err := strconv.ParseFloat(header, 64)
		if err != nil || millisLeft < 0 {
			return &errorResponse{status: http.StatusBadRequest, reason: gage.ReasonBadRequest, detail: "the deadline is not a non-negative number of milliseconds"}
		}
		q.isCallerRetry = m.callerRetries.isRetry(q.route.Name, millisLeft)
		callerBudget := time.Duration(millisLeft*float64(time.Millisecond)) - responseMargin
		q.chainDeadline = now.Add(callerBudget)
		if budget <= 0 || callerBudget < budget {
			budget = callerBudget
		}
	}
	q.deadline, q.giveUpAt = m.boundByStop(now, now.Add(budget))
	if q.chainDeadline.Before(q.deadline) {
		q.chainDeadline = q.deadline
	}
	q.latencyObjective = q.route.Objective
	if q.latencyObjective <= 0 {
		q.latencyObjective = defaultObjective
	}
	q.isNested = q.route.Open
	q.rank = q.route.Rank
	q.waitUntil = now.Add(max(q.latencyObjective/queueWaitDivisor, minQueueWait))
	if q.isNested || q.waitUntil.After(q.deadline) {
		q.waitUntil = q.deadline
	}
	return nil
}

// findWorkspace finds the workspace of a request by its API key. It returns nil if the
// route needs no key, or if the key is valid and the configuration is current.
func (m *Mesh) findWorkspace(now time.Time, q *request, key string) *errorResponse {
	if q.route.Open || len(q.site.Config.Workspaces) == 0 {
		return nil
	}
	bounds := m.bounds.Load()
	if bounds.RevokeEverywhere && !m.mirror.Settled() {
		return &errorResponse{
			status: http.StatusServiceUnavailable, reason: gage.ReasonNotConfirmed, retryAfter: retryAfterBase / 4,
			detail: "the configuration was not compared with that of another node yet",
		}
	}
	w, known := q.site.WorkspaceByKey(key)
	if !known {
		return &errorResponse{status: http.StatusUnauthorized, reason: gage.ReasonUnknownKey}
	}
	q.targetRequest.workspace = w.Name
	_, confirmed := m.mirror.Latest()
	if age := gage.Elapsed(now, confirmed); bounds.RevokeEverywhere && age > time.Duration(maxUnconfirmedShare*float64(bounds.RevocationDelay)) {
		return &errorResponse{
			status: http.StatusServiceUnavailable, reason: gage.ReasonNotConfirmed, retryAfter: retryAfterBase / 2,
			detail: "the configuration was last confirmed " + age.String() + " ago",
		}
	}
	q.workspace = w
	if w.HasRank {
		q.rank = w.Rank
	}
	return nil
}

// takeToken takes a token of the rate of the request's workspace. It returns nil if it
// has taken one, or if the request needs none.
func (m *Mesh) takeToken(ctx context.Context, now time.Time, q *request) *errorResponse {
	if q.workspace == nil {
		return nil
	}
	result := m.broker.Acquire(ctx, now, q.waitUntil, q.workspace.Name, q.isCallerRetry)
	q.tokenExpiresAt = result.ExpiresAt
	switch result.Reason {
	case gage.ReasonNone:
		return nil
	case gage.ReasonOverRate:
		return &errorResponse{status: http.StatusTooManyRequests, reason: result.Reason, retryAfter: max(result.Wait, time.Duration(overRateRetryAfterShare*float64(q.latencyObjective)))}
	default:
		return &errorResponse{status: http.StatusServiceUnavailable, reason: result.Reason, retryAfter: retryAfterBase / 4}
	}
}

// returnToken returns the request's token to the rate limit of its workspace if the
// request has certainly not run.
func (m *Mesh) returnToken(q *request) {
	if !q.tokenExpiresAt.IsZero() && !q.mayHaveRun {
		m.broker.PutBack(m.options.Clock.Now(), q.workspace.Name, q.tokenExpiresAt)
	}
}

// tryTargets sends a request to one target after another until one answers or no
// further attempt is allowed. It returns the result of the last attempt, or the answer of
// an earlier target if the last attempt got none: a request that has run must not be
// refused as one that has not.
func (m *Mesh) tryTargets(ctx context.Context, q *request) attemptResult {
	lastResult := notRun(gage.ReasonNoTarget, "no target of the service accepts requests")
	var answered *attemptResult
	orAnswered := func(r attemptResult) attemptResult {
		if answered != nil && r.reason != gage.ReasonNone {
			r.close()
			return *answered
		}
		return r
	}
	for range maxTargetsTried {
		now := m.options.Clock.Now()
		if q.arrivals > 0 && !m.spendRetry(now, q) {
			break
		}
		peer, ok := m.roster.Pick(now, q.service, q.triedVMs)
		if !ok {
			break
		}
		// The last result is closed no sooner than that, since it may be the answer.
		lastResult.close()
		q.triedVMs = append(q.triedVMs, peer.VM)
		q.expectedTarget, q.knownRateLimit = peer.Target.ID, peer.RateLimit
		r := m.send(ctx, peer, q)
		m.observe(peer, r)
		m.rememberNotices(peer, &r)
		q.mayHaveRun = q.mayHaveRun || r.outcome != gage.OutcomeNotRun
		if r.outcome != gage.OutcomeNotRun || r.rejectedByTarget {
			q.arrivals++
		}
		m.log.attemptFailed(q, peer, &r)
		if !m.mayTryAnother(ctx, q, &r) {
			return orAnswered(r)
		}
		if r.outcome == gage.OutcomeRan && r.bodyRest == nil {
			answered = &r
		}
		lastResult = r
	}
	return orAnswered(lastResult)
}

func (m *Mesh) send(ctx context.Context, peer roster.Peer, q *request) attemptResult {
	if peer.VM == m.options.Self.VM {
		q.isLocal = true
		return m.runAtLocalTarget(ctx, &q.targetRequest)
	}
	q.isLocal = false
	return m.forward(ctx, peer.Address, &q.targetRequest)
}

// observe reports the outcome of an attempt to the roster.
func (m *Mesh) observe(peer roster.Peer, r attemptResult) {
	outcome := roster.Served
	switch {
	case r.unreached:
		outcome = roster.Unreached
	case r.reason == gage.ReasonCanceled:
		outcome = roster.Abandoned
	case r.outcome == gage.OutcomeNotRun && !r.rejectedByTarget:
		outcome = roster.Refused
	case r.reason == gage.ReasonNone && r.overloadedService != "":
		outcome = roster.Blocked
	case r.reason != gage.ReasonNone, r.status == http.StatusInternalServerError:
		outcome = roster.Failed
	}
	m.roster.Observe(m.options.Clock.Now(), peer.VM, outcome, r.load)
}

// mayTryAnother reports whether a request may be sent to another target after
// the result r.
func (m *Mesh) mayTryAnother(ctx context.Context, q *request, r *attemptResult) bool {
	if ctx.Err() != nil || q.bodyRest != nil || r.reason == gage.ReasonCanceled {
		return false
	}
	switch r.outcome {
	case gage.OutcomeNotRun:
		return true
	case gage.OutcomeUnknown:
		return q.idempotent
	case gage.OutcomeRan:
	}
	failed := r.status == http.StatusInternalServerError && q.idempotent && !q.isNested
	return failed && q.arrivals < maxArrivals(q.route) && m.options.Clock.Now().Sub(q.startedAt) < q.latencyObjective/2
}

func maxArrivals(r *gage.Route) int {
	return max(r.MaxAttempts, 1)
}

// spendRetry reports whether a request that has reached a target may be sent to
// another one. If so, it takes a token of the retry budget.
func (m *Mesh) spendRetry(now time.Time, q *request) bool {
	return q.arrivals < maxArrivals(q.route) && now.Before(q.deadline) && m.retryBudget.Spend(q.service)
}

// errorFor returns the response to a request that no target answered.
func (m *Mesh) errorFor(q *request, r attemptResult) errorResponse {
	response := errorResponse{reason: r.reason, detail: r.detail}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(r.requestBodyErr, &tooLarge):
		return *bodyError(r.requestBodyErr)
	case r.reason == gage.ReasonDeadline && (q.mayHaveRun || r.outcome == gage.OutcomeUnknown):
		response.status = http.StatusGatewayTimeout
	case q.mayHaveRun || r.outcome != gage.OutcomeNotRun:
		response.status = http.StatusBadGateway
	default:
		response.status = http.StatusServiceUnavailable
		response.retryAfter = m.retryAfter(q, r.reason, rand.Float64())
	}
	return response
}

// retryAfter returns how long the caller should wait before it retries. Random
// is uniform in [0, 1).
func (m *Mesh) retryAfter(q *request, reason gage.Reason, random float64) time.Duration {
	left := q.deadline.Sub(m.options.Clock.Now())
	return m.brake.RetryAfter(q.route.Name, reason == gage.ReasonThrottled, q.latencyObjective, left, random)
}

// writeError writes an error that this node, not a target, produced.
func (m *Mesh) writeError(rw http.ResponseWriter, q *request, response errorResponse) {
	h := rw.Header()
	if q.id != "" {
		h[m.options.HeaderNames.RequestID] = []string{q.id}
	}
	if response.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64)}
	}
	if m.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	m.stats.nodeAnswered(response.status, response.reason, m.options.Clock.Now().Sub(q.startedAt))
	m.log.nodeAnswered(q, response)
	rw.WriteHeader(response.status)
}
