package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
	"github.com/greengagewind/greengagewind/gage/transport/spool"
)

// targetResponseMargin is how much earlier than a request's deadline the target's is, so
// that the response of a target that gives up then arrives before the node gives up itself.
const targetResponseMargin = 5 * time.Millisecond

// maxBufferedBytes is how much of a body a node buffers. Requests with bodies up
// to this size can be sent again. Responses with a shorter body are forwarded
// only after they were received completely.
const maxBufferedBytes = 128 << 10

// targetRequest is a request to run at one target.
type targetRequest struct {
	// id is the request ID that the caller chose.
	id     string
	method string
	// requestURI is the path and query as received.
	requestURI string
	host       string
	// header is the caller's header without the hop-by-hop headers and those that
	// the nodes set.
	header http.Header
	body   []byte
	// bufferedBytes is the reservation for body.
	bufferedBytes int64
	// bodyRest reads the part of the request's body that follows body. It is nil if
	// body is complete.
	bodyRest io.Reader
	// length is the length of the whole body, below 0 if unknown.
	length        int64
	callerService string
	workspace     string
	route         string
	// service is the service that runs the request, "" if a node of an earlier version
	// has forwarded it.
	service        string
	expectedTarget string
	// knownRateLimit is the target's limit of its rate as the caller's node has last
	// heard, in requests per second; +Inf if it has heard of none.
	knownRateLimit float64
	isNested       bool
	rank           int
	// isLocal is true if the caller is on the VM of the target.
	isLocal bool
	// idempotent requests may run more than once.
	idempotent bool
	deadline   time.Time
	// giveUpAt is when the nodes stop waiting for the target's response, at or after
	// deadline.
	giveUpAt time.Time
	// chainDeadline is the deadline of the request at the head of the call chain,
	// at or after deadline.
	chainDeadline time.Time
	// waitUntil is when the request is refused if it still waits for a slot.
	waitUntil time.Time
}

// hopRequest returns the HTTP request for w with the given header.
func (w *targetRequest) hopRequest(header http.Header) *hop.Request {
	r := &hop.Request{Method: w.method, RequestURI: w.requestURI, Host: w.host, Header: header, Length: w.length}
	switch {
	case w.bodyRest != nil:
		r.Body = io.MultiReader(bytes.NewReader(w.body), w.bodyRest)
	case len(w.body) > 0:
		r.Body, r.Length = bytes.NewReader(w.body), int64(len(w.body))
	}
	return r
}

// attemptResult is the result of sending a request to one target.
type attemptResult struct {
	outcome gage.Outcome
	// reason is ReasonNone if and only if the target's response is present.
	reason gage.Reason
	detail string
	status int
	header http.Header
	// body is the body of the response or its first bytes; bodyRest is the part
	// that follows, or nil.
	body     []byte
	bodyRest io.ReadCloser
	length   int64
	// spool holds the reservation of bufferedBytes for body. It is nil if there is
	// none.
	spool         *spool.Spool
	bufferedBytes int64
	// load is the state that the node of the target reported, or nil.
	load *gage.TargetState
	// unreached is true if no connection to the target or its node could be
	// opened.
	unreached bool
	// rejectedByTarget is true if the request reached the target, which rejected
	// it without running it.
	rejectedByTarget bool
	// requestBodyErr is the error of reading the caller's body, or nil.
	requestBodyErr error
	// overloadedService is the service whose overload made the request fail, or
	// "".
	overloadedService string
}

func (r *attemptResult) close() {
	if r.bodyRest != nil {
		_ = r.bodyRest.Close()
	}
	if r.spool != nil {
		r.spool.Release(r.bufferedBytes)
		r.spool = nil
	}
}

func notRun(reason gage.Reason, detail string) attemptResult {
	return attemptResult{outcome: gage.OutcomeNotRun, reason: reason, detail: detail}
}

// canceledBeforeSend returns the result of a request that was not sent, because its sender
// has left or its deadline has passed.
func canceledBeforeSend(ctx context.Context) attemptResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return notRun(gage.ReasonDeadline, "")
	}
	return notRun(gage.ReasonCanceled, "the sender of the request has closed its connection")
}

func outcomeUnknown(reason gage.Reason, detail string) attemptResult {
	return attemptResult{outcome: gage.OutcomeUnknown, reason: reason, detail: detail}
}

// runAtLocalTarget runs a request at the target on this VM.
func (m *Mesh) runAtLocalTarget(ctx context.Context, w *targetRequest) attemptResult {
	now := m.options.Clock.Now()
	gate, ticket, reason := m.localTarget.admit(ctx, now, w)
	if reason != gage.ReasonNone {
		r := notRun(reason, "")
		load := m.localTarget.state(now)
		r.load = &load
		return r
	}
	admittedAt := m.options.Clock.Now()
	m.stats.queueWait.Update(admittedAt.Sub(now).Seconds())
	now = admittedAt
	if hasLeft(ctx) {
		m.stats.leftBeforeRun.Inc()
		m.localTarget.cancel(now, gate)
		return canceledBeforeSend(ctx)
	}
	response, err := m.localTarget.client.Do(ctx, now, m.options.Self.TargetAddress, w.hopRequest(m.targetHeader(now, w)))
	if err == nil && response.Status != http.StatusMisdirectedRequest {
		m.localTarget.handleNotices(m.options.Clock.Now(), admittedAt, gate, response.Header)
	}
	r := m.targetResult(ctx, response, err)
	if r.status >= http.StatusInternalServerError {
		r.overloadedService = m.calls.overloadedSince(now)
	}
	now = m.options.Clock.Now()
	var failure *hop.Failure
	if errors.As(err, &failure) && failure.Dial && ctx.Err() == nil {
		m.localTarget.markSuspect(now, gate, err)
	}
	if r.bodyRest == nil {
		m.localTarget.finish(now, gate, ticket, err == nil)
	} else {
		r.bodyRest = &onClose{ReadCloser: r.bodyRest, callback: func() { m.localTarget.finish(m.options.Clock.Now(), gate, ticket, true) }}
	}
	load := m.localTarget.state(now)
	r.load = &load
	return r
}

// onClose calls callback once when the body is closed.
type onClose struct {
	io.ReadCloser
	callback func()
}

// Close closes the body after the callback.
func (o *onClose) Close() error {
	if o.callback != nil {
		o.callback()
		o.callback = nil
	}
	return o.ReadCloser.Close()
}

// targetHeader returns the header of a request to the target.
func (m *Mesh) targetHeader(now time.Time, w *targetRequest) http.Header {
	names := m.options.HeaderNames
	header := make(http.Header, len(w.header)+5)
	for name, values := range w.header {
		header[name] = values
	}
	header[names.RequestID] = []string{w.id}
	header[names.CallerService] = []string{w.callerService}
	header[names.ExpectedTarget] = []string{w.expectedTarget}
	header[names.DeadlineMillis] = []string{millis(w.deadline.Sub(now) - targetResponseMargin)}
	if w.workspace != "" {
		header[names.Workspace] = []string{w.workspace}
	}
	return header
}

func millis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// targetResult returns the result of a request to the target, from its response
// or error.
func (m *Mesh) targetResult(ctx context.Context, response *hop.Response, err error) attemptResult {
	if err != nil {
		return sendFailure(ctx, m.options.Clock.Now(), err)
	}
	r := m.readResponse(ctx, response)
	if r.outcome != gage.OutcomeRan {
		return r
	}
	names := m.options.HeaderNames
	switch {
	case r.header.Get(names.NotExecuted) != "", r.status == http.StatusMisdirectedRequest:
		r.close()
		rejectedResult := notRun(gage.ReasonOverload, "the target did not run the request: status "+strconv.Itoa(r.status))
		rejectedResult.rejectedByTarget = r.status != http.StatusMisdirectedRequest
		return rejectedResult
	case r.status >= 200 && r.status < 300 && r.header.Get(names.Signature) == "":
		r.close()
		return outcomeUnknown(gage.ReasonSpoiled, "the response has no signature")
	}
	return r
}

// sendFailure returns the result of a request that got no response. The outcome
// is unknown if any of the request may have been sent.
func sendFailure(ctx context.Context, now time.Time, err error) attemptResult {
	var failure *hop.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	reason := gage.ReasonBroken
	var requestBodyErr error
	if failure != nil {
		requestBodyErr = failure.Body
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), sent && errors.Is(err, os.ErrDeadlineExceeded), errors.Is(requestBodyErr, os.ErrDeadlineExceeded):
		// The connection's own deadline, equal to that of ctx, may expire first. That
		// also counts as the deadline.
		reason = gage.ReasonDeadline
	case ctx.Err() != nil:
		reason = gage.ReasonCanceled
		// At the deadline of a body the HTTP server cancels ctx, which has the same
		// deadline and may not have noticed it.
		if deadline, ok := ctx.Deadline(); ok && !now.Before(deadline) {
			reason = gage.ReasonDeadline
		}
	case !sent:
		reason = gage.ReasonUnreached
	}
	if sent {
		r := outcomeUnknown(reason, err.Error())
		r.requestBodyErr = requestBodyErr
		return r
	}
	r := notRun(reason, err.Error())
	r.unreached = reason == gage.ReasonUnreached
	return r
}

// readResponse reads a response and buffers its body if it is short enough. The
// body of a longer response is left in bodyRest.
func (m *Mesh) readResponse(ctx context.Context, response *hop.Response) attemptResult {
	r := attemptResult{outcome: gage.OutcomeRan, status: response.Status, header: response.Header, length: response.Length, spool: m.spool}
	var err error
	if response.Length >= 0 {
		if response.Length > spool.FreeBytes {
			if response.Length > maxBufferedBytes || !m.spool.Reserve(response.Length) {
				r.bodyRest = response.Body
				return r
			}
			r.bufferedBytes = response.Length
		}
		r.body = make([]byte, response.Length)
		_, err = io.ReadFull(response.Body, r.body)
		if err == nil {
			// Reading to the end of the body lets the connection be reused.
			_, _ = response.Body.Read(make([]byte, 1))
		}
	} else {
		var isComplete bool
		r.body, isComplete, r.bufferedBytes, err = m.spool.Read(response.Body, maxBufferedBytes)
		if err == nil && !isComplete {
			r.bodyRest = response.Body
			return r
		}
		r.length = int64(len(r.body))
	}
	_ = response.Body.Close()
	if err == nil {
		return r
	}
	r.close()
	truncatedResult := sendFailure(ctx, m.options.Clock.Now(), &hop.Failure{Sent: true, Err: err})
	truncatedResult.detail = "the response was truncated: " + err.Error()
	return truncatedResult
}
