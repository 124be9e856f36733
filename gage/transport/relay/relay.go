// Package relay sends admitted calls to the targets beside the node.
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

// The bounds towards targets.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 1024
	maxHeaderBytes  = 64 << 10
)

const serviceName = "target"

// Relay sends calls to targets over HTTP.
type Relay struct {
	clock   gage.Clock
	service httpc.Service
	client  *http.Client
}

// New returns a relay.
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
	r.client = &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	// The limits towards targets are ours; httpc's breaker would refuse calls
	// on its own account.
	breaker.NoBreakerFor(serviceName)
	r.service = httpc.NewServiceWithClient(serviceName, r.client)
	return r
}

func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (r *Relay) Close() {
	r.client.CloseIdleConnections()
}

// Send runs c at the target's address and returns its whole answer. The
// result is NotRun only when no byte of the call has reached the connection.
func (r *Relay) Send(ctx context.Context, address, token string, c gage.Call) gage.Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	sent := &tracker{admitBy: c.AdmitBy}
	request, err := r.request(httptrace.WithClientTrace(ctx, sent.trace()), address, token, c)
	if err != nil {
		return gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("The request could not be built: %v.", err))
	}
	response, err := r.service.DoRequest(request)
	if err != nil {
		return sent.failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return answer(ctx, c.Method, response)
}

func (r *Relay) request(ctx context.Context, address, token string, c gage.Call) (*http.Request, error) {
	// onceReader hides the body's kind: net/http replays a request on a broken
	// connection only when it can rewind the body.
	body := &onceReader{reader: bytes.NewReader(c.Body)}
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
	left := c.Deadline.Sub(r.clock.Now()).Milliseconds()
	request.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(left, 0), 10))
	return request, nil
}

// onceReader reads a body a single time.
type onceReader struct {
	reader io.Reader
}

// Read reads from the body.
func (o *onceReader) Read(b []byte) (int, error) {
	return o.reader.Read(b)
}

// Close does nothing: the body is in memory.
func (o *onceReader) Close() error {
	return nil
}

// tracker follows one request to its connection.
type tracker struct {
	admitBy time.Time
	mu      sync.Mutex
	conn    *guardedConn
}

func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*guardedConn)
		if !ok {
			return
		}
		conn.arm(t.admitBy)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn = conn
	}}
}

func (t *tracker) failure(ctx context.Context, err error) gage.Result {
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	ran := conn != nil && conn.seal()
	if !ran {
		return gage.Refused(notRunReason(ctx, err), "The target was not reached: "+cause(err)+".")
	}
	return unknown(unknownReason(ctx), "The target's answer was lost: "+cause(err)+".")
}

func notRunReason(ctx context.Context, err error) gage.Reason {
	switch {
	case errors.Is(err, errStale):
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

func answer(ctx context.Context, method string, response *http.Response) gage.Result {
	if method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return unknown(gage.ReasonTargetFailed, "The target's answer states no length, so a cut could not be told from its end.")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, gage.MaxBodyBytes+1))
	if err != nil {
		return unknown(unknownReason(ctx), "The target's answer was cut: "+cause(err)+".")
	}
	if len(body) > gage.MaxBodyBytes {
		return unknown(gage.ReasonTooLarge, fmt.Sprintf("The target's answer is larger than %d bytes.", gage.MaxBodyBytes))
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(header.NotRun) == "true" {
		return gage.Refused(gage.ReasonOverload, "The target shed the request without running it.")
	}
	return gage.Result{
		Outcome: gage.OutcomeRan,
		Status:  response.StatusCode,
		Header:  passing(response.Header),
		Body:    body,
	}
}

func passing(from http.Header) []gage.Header {
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

func unknown(reason gage.Reason, detail string) gage.Result {
	return gage.Result{Outcome: gage.OutcomeUnknown, Reason: reason, Detail: detail}
}
