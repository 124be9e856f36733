// Package hop is an HTTP/1.1 client with a connection pool. It sends each request
// once and reports exactly whether the request may have reached the server.
// http.Transport is not used, because it retries requests by itself and discards
// a response that follows a stale one on the same connection. Responses are
// parsed by net/http.
package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
)

const (
	// concurrentWriteBytes is the body size above which the response is read while
	// the body is still being written. Shorter bodies fit the socket buffer, so
	// writing them does not block.
	concurrentWriteBytes = 8 << 10
	// maxResponsesRead is the maximum number of responses read for one request,
	// including interim responses and stale responses to earlier requests.
	maxResponsesRead = 4
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	userTimeout = time.Second
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the bytes read until the header of a response is complete,
	// and the body of a stale response. maxHeadLines bounds the lines of the header, since
	// a parsed line may take many times its length.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
)

// Options describe the connections to one kind of server.
type Options struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time that a connection stays idle in the pool.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address, MaxIdleTotal that of
	// all addresses together, 0 if it is not limited.
	MaxIdle, MaxIdleTotal int
	// IDHeader is the name of the header with the request ID, which each response
	// must echo. Responses are not checked if it is "".
	IDHeader string
	// AddedHeadBytes and AddedHeadLines are what a server that passes on the response of
	// another one may add to its header.
	AddedHeadBytes, AddedHeadLines int
}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn
	// idleCount is the number of all idle connections.
	idleCount int
	// Dialed is called for each connection opened. It must be set before the
	// client is used.
	Dialed func()
}

// New returns a client with an empty pool.
func New(options Options) *Client {
	c := &Client{options: options, idle: make(map[string][]*conn), Dialed: func() {}}
	c.dialer = net.Dialer{
		Timeout:         options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         setSocketOptions,
	}
	return c
}

// Request is an HTTP request to send.
type Request struct {
	Method string
	// RequestURI is the path and query, sent without changes.
	RequestURI string
	Host       string
	// Header is sent without changes. It must not hold Host, Content-Length or
	// Transfer-Encoding.
	Header http.Header
	// Body is nil if the request has no body.
	Body io.Reader
	// Length is the length of Body in bytes, or below 0 to send it chunked.
	Length int64
}

// Response is a response whose header has been read. The caller must
// close Body.
type Response struct {
	Status int
	Header http.Header
	// Body returns an error other than io.EOF if the response is truncated.
	// Closing it before its end closes the connection.
	Body io.ReadCloser
	// Length is the length of Body in bytes, or below 0 if unknown.
	Length int64
	// Reused is true if the connection had served an earlier request.
	Reused bool
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Sent is true if any byte of the request may have reached the server.
	Sent bool
	// Dial is true if no connection could be opened.
	Dial bool
	// Body is the error of reading Request.Body, or nil. The server has then received
	// an incomplete request.
	Body error
	Err  error
}

// Error returns the message of Err.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns Err.
func (f *Failure) Unwrap() error { return f.Err }

type conn struct {
	net.Conn
	// received limits what reader reads.
	received *headReader
	reader   *bufio.Reader
	// expiresAt is the time from which the connection must not be reused.
	expiresAt time.Time
	reused    bool
}

// Do sends a request and returns its response. When ctx ends, the connection is
// closed, even while the body of the response is being read. The error is a
// *Failure.
func (c *Client) Do(ctx context.Context, now time.Time, address string, r *Request) (*Response, error) {
	conn, err := c.acquire(ctx, now, address)
	if err != nil {
		return nil, &Failure{Dial: true, Err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	detachContext := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	body := &bodyReader{reader: r.Body}
	response, err := c.exchange(conn, address, r, body, detachContext)
	if err == nil {
		return response, nil
	}
	detachContext()
	_ = conn.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Failure{Sent: true, Body: body.failure(), Err: fmt.Errorf("request to %s: %w", address, err)}
}

// bodyReader reads the body of a request and remembers the error that ended it early.
type bodyReader struct {
	reader io.Reader
	mu     sync.Mutex
	err    error
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// failure returns the error of the reader other than io.EOF, or nil.
func (b *bodyReader) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// exchange writes the request with the given body and reads the header of its
// response. If the body ends early, it closes the connection, so that the server does
// not wait for the rest.
func (c *Client) exchange(conn *conn, address string, r *Request, body *bodyReader, detachContext func() bool) (*Response, error) {
	sending := &sending{done: make(chan struct{})}
	if r.Body != nil && (r.Length < 0 || r.Length > concurrentWriteBytes) {
		go func() {
			sending.end(write(conn, r, body))
			if body.failure() != nil {
				_ = conn.Close()
			}
		}()
	} else {
		err := write(conn, r, body)
		sending.end(err)
		if err != nil {
			// The server may have responded before it closed the connection.
			if response, readErr := c.readHead(conn, r); readErr == nil { //nolint:bodyclose // closed with the Response
				return c.newResponse(conn, address, response, detachContext, sending), nil
			}
			return nil, err
		}
	}
	response, err := c.readHead(conn, r) //nolint:bodyclose // closed with the Response
	if err != nil {
		return nil, err
	}
	return c.newResponse(conn, address, response, detachContext, sending), nil
}

// sending is the state of a request that is being written.
type sending struct {
	// done is closed when writing has ended. err is set before.
	done chan struct{}
	err  error
}

func (s *sending) end(err error) {
	s.err = err
	close(s.done)
}

// isComplete reports whether the whole request has been written.
func (s *sending) isComplete() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// completesWithin waits for the end of writing and reports whether the whole request was
// written.
func (s *sending) completesWithin(wait time.Duration) bool {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-s.done:
	case <-timeout.C:
	}
	return s.isComplete()
}

func (c *Client) newResponse(conn *conn, address string, response *http.Response, detachContext func() bool, sending *sending) *Response {
	body := &responseBody{
		ReadCloser:    response.Body,
		client:        c,
		conn:          conn,
		address:       address,
		detachContext: detachContext,
		sending:       sending,
		response:      response,
		endsWithConn:  response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		idleLifetime:  idleLifetime(response, c.options.IdleTimeout),
	}
	result := &Response{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength, Reused: conn.reused}
	if result.Length == 0 {
		body.release(true)
	}
	return result
}

// errOnlyStaleResponses is returned if none of the responses read answers the
// request.
var errOnlyStaleResponses = errors.New("the connection returned only responses to other requests")

// errHeadTooLong is returned if a response has a header of more than maxHeadBytes or
// maxHeadLines.
var errHeadTooLong = errors.New("the header of the response is too long")

// errFolded is returned if a line of a header begins with a blank.
var errFolded = errors.New("a line in the header of the response begins with a blank")

// readHead reads the status and header of the response to r. It skips interim
// responses (1xx) and responses to earlier requests.
func (c *Client) readHead(conn *conn, r *Request) (*http.Response, error) {
	// A faulty server may send a header, or a stale response, without end.
	defer conn.received.unlimit()
	conn.received.folds.start()
	for range maxResponsesRead {
		response, err := c.readOneHead(conn, r)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if c.options.IDHeader == "" || response.Header.Get(c.options.IDHeader) == r.Header.Get(c.options.IDHeader) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, errOnlyStaleResponses
		}
		conn.received.folds.start()
		if buffered, err := conn.reader.Peek(conn.reader.Buffered()); err == nil {
			conn.received.folds.look(buffered)
		}
	}
	return nil, errOnlyStaleResponses
}

// readOneHead reads the status and header of the next response on a connection, final or
// interim.
func (c *Client) readOneHead(conn *conn, r *Request) (*http.Response, error) {
	conn.received.limit(maxHeadBytes+c.options.AddedHeadBytes, maxHeadLines+c.options.AddedHeadLines)
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
	if err != nil {
		if conn.received.isExhausted() {
			err = errHeadTooLong
		}
		return nil, err
	}
	conn.received.lines = math.MaxInt
	if conn.received.folds.found {
		return nil, errFolded
	}
	if err := header.CheckNames(response.Header); err != nil {
		return nil, err
	}
	if isInterim(response.StatusCode) {
		return response, nil
	}
	return response, header.CheckStatus(response.StatusCode)
}

// isInterim reports whether a final response follows one with the status. No request asks
// for another protocol, so 101 is no answer to any.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// idleLifetime returns how long a connection may stay idle after a response, at
// most limit.
func idleLifetime(response *http.Response, limit time.Duration) time.Duration {
	if response.Close {
		return 0
	}
	for _, parameter := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return limit
		}
		// The server starts its idle timer earlier than this client does. The margin
		// prevents the reuse of a connection that the server is about to close.
		return min(limit, time.Duration(seconds)*time.Second*4/5)
	}
	return limit
}

func write(conn *conn, r *Request, body io.Reader) error {
	w := bufio.NewWriterSize(conn, bufferBytes)
	_, _ = w.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	if err := writeBody(w, r, body); err != nil {
		return err
	}
	return w.Flush()
}

func writeBody(w *bufio.Writer, r *Request, body io.Reader) error {
	switch {
	case r.Body == nil:
		if r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
			_, _ = w.WriteString("Content-Length: 0\r\n")
		}
		_, err := w.WriteString("\r\n")
		return err
	case r.Length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n\r\n")
		n, err := io.Copy(w, body)
		if err == nil && n != r.Length {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	return writeChunks(w, body)
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buffer := make([]byte, concurrentWriteBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")
			if flushErr := w.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
