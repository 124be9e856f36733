package guard

import (
	"io"
	"net"
	"net/http"

	"github.com/greengagewind/greengagewind/gage/state/evict"
)

type connKey struct{}

// conn is a connection of a door.
type conn struct {
	net.Conn
	door  *Door
	entry *evict.Conn

	// The door's mu protects the fields below.

	// inHead is true until the header of a request has been read.
	inHead bool
	// hasBegun is true once the first bytes of the header have arrived.
	hasBegun bool
	// headWait is the wait for the header, which ends when the handler begins. A server
	// that refuses a header gives the client time to read the response.
	headWait int
	// isRefused is true if the present request may not be taken in hand.
	isRefused bool
}

// NetConn returns the connection beneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.door.received(c)
	}
	return n, err
}

// received tells that the client has sent something.
func (d *Door) received(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.inHead && !c.hasBegun {
		c.hasBegun = true
		d.table.Begin(d.options.Clock.Now(), c.entry)
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
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// abort closes the connection. In the middle of a request, it also drops what was written
// and not sent, which the kernel would hold for a while.
func (c *conn) abort() {
	c.door.mu.Lock()
	isIdle := c.inHead && !c.hasBegun
	c.door.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !isIdle {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
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
