package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/evict"
)

type connKey struct{}

// conn is a connection of a door.
type conn struct {
	net.Conn
	door  *Door
	entry *evict.Conn
	// isOpaque is true if the server speaks another protocol than HTTP.
	isOpaque bool

	// The door's mu protects the fields below.

	// cancel ends the contexts of the connection's requests. A handler that does not read from
	// the connection would not notice its end. It is nil until the server has the connection.
	cancel context.CancelFunc
	// inHead is true until the header of a request has been read.
	inHead bool
	// headBytes is how much was received since the wait for a header began.
	headBytes int
	// headWait is the wait for the header, which ends when the handler begins. A server
	// that refuses a header gives the client time to read the response.
	headWait int
	// isRefused is true if the present request may not be taken in hand.
	isRefused bool
}

// NetConn returns the connection beneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

// readAheadBytes is how much an HTTP server may read beyond a header in one go.
const readAheadBytes = 4 << 10

// Read reads from the connection. It ends in a header that is longer than it may be, or that
// does not fit the memory. The HTTP server parses a header while it arrives, so a check of
// the whole one would come too late.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.door.received(c, p[:n]) {
	case headTooLong:
		c.refuseHead()
		return 0, errHeadTooLong
	case headNotFitting:
		c.abort()
		return 0, errNoMemory
	case headAccepted:
	}
	return n, err
}

// headResult is the decision on a part of a header.
type headResult string

const (
	headAccepted   headResult = "Accepted"
	headTooLong    headResult = "TooLong"
	headNotFitting headResult = "NotFitting"
)

// The HTTP server answers no errors of this type.
var (
	errHeadTooLong = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the header of the request is too long")}
	errNoMemory    = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the headers of all requests take too much memory")}
)

// received accounts for bytes that the client has sent.
func (d *Door) received(c *conn, text []byte) headResult {
	limit := d.options.MaxHeaderBytes() + readAheadBytes
	d.mu.Lock()
	if c.isOpaque {
		d.table.Begin(d.options.Clock.Now(), c.entry)
	}
	if !c.inHead {
		d.mu.Unlock()
		return headAccepted
	}
	if c.headBytes == 0 {
		d.table.Begin(d.options.Clock.Now(), c.entry)
	}
	c.headBytes += len(text)
	if c.headBytes > limit {
		d.mu.Unlock()
		return headTooLong
	}
	lines := bytes.Count(text, []byte("\n"))
	evicted, fits := d.table.Grow(c.entry, int64(len(text)+lines*evict.LineBytes))
	if !fits {
		d.table.Close(c.entry)
		d.signalRoom()
	}
	d.mu.Unlock()
	d.abortAll(evicted)
	if !fits {
		d.closed.Inc()
		d.log(1)
		return headNotFitting
	}
	return headAccepted
}

// The limits of what is read and dropped after the response to a header that is too long. If
// the connection were closed at once, it would be reset, and the client might not receive
// the response.
const (
	dropTimeout  = 500 * time.Millisecond
	maxDropBytes = 256 << 10
)

const headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuseHead answers a request whose header is too long.
func (c *conn) refuseHead() {
	now := c.door.options.Clock.Now()
	if c.SetDeadline(now.Add(dropTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLongResponse); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDropBytes)
	}
}

// Write writes to the connection. Until it returns, the server waits for the client.
func (c *conn) Write(p []byte) (int, error) {
	request := c.wait()
	n, err := c.Conn.Write(p)
	c.resume(request)
	return n, err
}

func (c *conn) wait() (request int) {
	d := c.door
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.signalRoom()
	return d.table.Wait(c.entry)
}

func (c *conn) resume(request int) {
	d := c.door
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Resume(c.entry, request)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.door.mu.Lock()
	c.door.table.Close(c.entry)
	c.door.signalRoom()
	cancel := c.cancel
	c.door.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// abort closes the connection and cancels its request. In the middle of a request, it also
// drops what was written and not sent, which the kernel would hold for a while.
func (c *conn) abort() {
	c.door.mu.Lock()
	isIdle, cancel := c.inHead && c.headBytes == 0, c.cancel
	c.door.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !isIdle {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	if cancel != nil {
		cancel()
	}
}

// handler tells the door when a request waits for its client.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		isRefused := c.begin()
		// After the handler, the server flushes the response and may read the rest of the
		// body.
		defer c.wait()
		if isRefused {
			d.refusal.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// begin ends the wait for the header of a request, and reports whether the request may not
// be taken in hand.
func (c *conn) begin() (isRefused bool) {
	d := c.door
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Resume(c.entry, c.headWait)
	return c.isRefused
}

// body is the body of a request. While it is read, the server waits for the client.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	request := b.conn.wait()
	n, err := b.ReadCloser.Read(p)
	b.conn.resume(request)
	return n, err
}
