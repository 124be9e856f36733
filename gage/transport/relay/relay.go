// Package relay sends admitted calls over HTTP to the targets on the node's VM.
package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
)

// The limits of connections and answers.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 1024
	maxHeaderBytes  = 64 << 10
)

// httpcServiceName is the name that identifies the circuit breaker of httpc. All
// targets share it.
const httpcServiceName = "target"

// Relay sends calls to targets over HTTP. It is safe for concurrent use.
type Relay struct {
	clock   gage.Clock
	service httpc.Service
	client  *http.Client
}

// New returns a relay that reads the time from clock.
func New(clock gage.Clock) *Relay {
	r := &Relay{clock: clock}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn, now: clock.Now}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	r.client = &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect}
	// The circuit breaker of httpc is disabled: the node limits the calls to targets
	// itself, and the breaker would refuse calls that the node has admitted.
	breaker.NoBreakerFor(httpcServiceName)
	r.service = httpc.NewServiceWithClient(httpcServiceName, r.client)
	return r
}

func doNotFollowRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (r *Relay) Close() {
	r.client.CloseIdleConnections()
}

// Send sends c to the target at address, a host:port, and reads the complete
// answer. token is the value of the Gage-Context header. The outcome is NotRun
// only if no byte of the request was written to a connection, or if the target
// answered that it did not run the call.
func (r *Relay) Send(ctx context.Context, address, token string, c gage.Call) gage.Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	tracker := &requestTracker{admitBy: c.AdmitBy}
	request, err := r.request(httptrace.WithClientTrace(ctx, tracker.trace()), address, token, c)
	if err != nil {
		return gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("The request could not be built: %v.", err))
	}
	response, err := r.service.DoRequest(request)
	if err != nil {
		return tracker.failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := errors.Join(header.CheckStatus(response.StatusCode), header.CheckNames(response.Header)); err != nil {
		return unknownOutcome(gage.ReasonTargetFailed, "The target's answer is not HTTP.")
	}
	if detail := foreignAnswer(response, c, tracker.isReused()); detail != "" {
		return unknownOutcome(gage.ReasonTargetFailed, detail)
	}
	return readAnswer(ctx, c.Method, response)
}

// foreignAnswer returns why an answer may be to another request than c, or "". A faulty
// target may write an earlier answer once more. A refusal that does not name its request
// counts only on a new connection, on which nothing was asked before.
func foreignAnswer(response *http.Response, c gage.Call, isReused bool) string {
	id, attempt := response.Header.Get(header.RequestID), response.Header.Get(header.Attempt)
	switch {
	case id != "" && id != c.RequestID, attempt != "" && attempt != strconv.Itoa(c.Attempt):
		return fmt.Sprintf("The target's answer is to request %.64q, attempt %.16q.", id, attempt)
	case id == "" && isReused && isRefusal(response):
		return "The target's refusal came on a kept connection and does not name its request."
	}
	return ""
}

// isRefusal reports whether a target answered that it did not run the request.
func isRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(header.NotRun) == "true"
}

func (r *Relay) request(ctx context.Context, address, token string, c gage.Call) (*http.Request, error) {
	// net/http retries a request on a broken connection only if it can rewind the
	// body. singleUseBody hides the type of the reader, so that net/http cannot
	// rewind it.
	body := &singleUseBody{reader: bytes.NewReader(c.Body)}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, body)
	if err != nil {
		return nil, err
	}
	if len(c.Body) > 0 {
		request.ContentLength = int64(len(c.Body))
	}
	for _, line := range c.Header {
		request.Header.Add(line.Name, line.Value)
	}
	request.Header.Set(header.Context, token)
	request.Header.Set(header.RequestID, c.RequestID)
	request.Header.Set(header.Workspace, c.Workspace)
	request.Header.Set(header.Importance, string(c.Importance))
	request.Header.Set(header.Attempt, strconv.Itoa(c.Attempt))
	remainingMillis := c.Deadline.Sub(r.clock.Now()).Milliseconds()
	request.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(remainingMillis, 0), 10))
	return request, nil
}

// singleUseBody is a request body that cannot be rewound.
type singleUseBody struct {
	reader io.Reader
}

// Read implements io.Reader.
func (s *singleUseBody) Read(b []byte) (int, error) {
	return s.reader.Read(b)
}

// Close does nothing: the body is in memory.
func (s *singleUseBody) Close() error {
	return nil
}

// requestTracker records the connection on which net/http sends a request.
type requestTracker struct {
	admitBy time.Time
	mu      sync.Mutex
	conn    *guardedConn
	// reused is true if the connection had served an earlier request.
	reused bool
}

func (t *requestTracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

func (t *requestTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*guardedConn)
		if !ok {
			return
		}
		conn.beginRequest(t.admitBy)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn, t.reused = conn, info.Reused
	}}
}

func (t *requestTracker) failure(ctx context.Context, err error) gage.Result {
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	mayHaveRun := conn != nil && conn.blockWrites()
	if !mayHaveRun {
		return gage.Refused(notRunReason(ctx, err), "The request was not sent to the target: "+errorCause(err)+".")
	}
	return unknownOutcome(unknownReason(ctx), "The target's answer was not received: "+errorCause(err)+".")
}

func notRunReason(ctx context.Context, err error) gage.Reason {
	switch {
	case errors.Is(err, errDecisionsExpired):
		return gage.ReasonStaleDecision
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gage.ReasonDeadline
	case ctx.Err() != nil:
		return gage.ReasonCanceled
	}
	return gage.ReasonTargetFailed
}

func unknownReason(ctx context.Context) gage.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gage.ReasonDeadline
	case ctx.Err() != nil:
		return gage.ReasonCanceled
	}
	return gage.ReasonTargetFailed
}

func readAnswer(ctx context.Context, method string, response *http.Response) gage.Result {
	if method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return unknownOutcome(gage.ReasonTargetFailed, "The target's answer has neither a Content-Length nor a Transfer-Encoding, so a truncated answer could not be detected.")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, gage.MaxBodyBytes+1))
	if err != nil {
		return unknownOutcome(unknownReason(ctx), "The target's answer was truncated: "+errorCause(err)+".")
	}
	if len(body) > gage.MaxBodyBytes {
		return unknownOutcome(gage.ReasonTooLarge, fmt.Sprintf("The target's answer is larger than %d bytes.", gage.MaxBodyBytes))
	}
	if isRefusal(response) {
		return gage.Refused(gage.ReasonOverload, "The target refused the request without running it.")
	}
	return gage.Result{
		Outcome: gage.OutcomeRan,
		Status:  response.StatusCode,
		Header:  forwardableHeaders(response.Header),
		Body:    body,
	}
}

func forwardableHeaders(from http.Header) []gage.Header {
	var lines []gage.Header
	for name, values := range from {
		if !header.IsForwarded(name) {
			continue
		}
		for _, value := range values {
			lines = append(lines, gage.Header{Name: name, Value: value})
		}
	}
	return lines
}

func unknownOutcome(reason gage.Reason, detail string) gage.Result {
	return gage.Result{Outcome: gage.OutcomeUnknown, Reason: reason, Detail: detail}
}
