package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/transport/guard"
	"github.com/greengagewind/greengagewind/gage/transport/peek"
)

// optionTCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const optionTCPUserTimeout = 18

func setSocketOptions(network, address string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(userTimeout.Milliseconds()))
	})
	// A caller that does not read its response leaves it in the receive buffer.
	return errors.Join(err, optErr, guard.BoundReceiveBuffer(network, address, raw))
}

// acquire returns an idle connection from the pool, or a new one.
func (c *Client) acquire(ctx context.Context, now time.Time, address string) (*conn, error) {
	for {
		idle := c.pop(address)
		if idle == nil {
			break
		}
		if now.Before(idle.expiresAt) && idle.isIdle() {
			idle.reused = true
			return idle, nil
		}
		_ = idle.Close()
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.Dialed()
	received := &headReader{reader: opened}
	received.unlimit()
	return &conn{Conn: opened, received: received, reader: bufio.NewReaderSize(received, bufferBytes)}, nil
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[address] = conns[:len(conns)-1]
	c.idleCount--
	return last
}

func (c *Client) push(address string, idle *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.options.MaxIdle {
		_ = idle.Close()
		return
	}
	if c.options.MaxIdleTotal > 0 && c.idleCount >= c.options.MaxIdleTotal {
		c.closeOldest()
	}
	c.idle[address] = append(c.idle[address], idle)
	c.idleCount++
}

// closeOldest closes the idle connection that expires first. The caller must hold mu.
func (c *Client) closeOldest() {
	oldestAddress := ""
	var oldest *conn
	for address, conns := range c.idle {
		// The last one is used first, so the first one is the oldest of its address.
		if len(conns) > 0 && (oldest == nil || conns[0].expiresAt.Before(oldest.expiresAt)) {
			oldestAddress, oldest = address, conns[0]
		}
	}
	if oldest == nil {
		return
	}
	_ = oldest.Close()
	c.idle[oldestAddress] = c.idle[oldestAddress][1:]
	c.idleCount--
}

// Prune closes the idle connections that have expired at now.
func (c *Client) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		live := conns[:0]
		for _, idle := range conns {
			if now.Before(idle.expiresAt) {
				live = append(live, idle)
				continue
			}
			c.idleCount--
			_ = idle.Close()
		}
		if len(live) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = live
	}
}

// Drop closes the idle connections to an address.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[address] {
		_ = idle.Close()
	}
	c.idleCount -= len(c.idle[address])
	delete(c.idle, address)
}

// isIdle reports whether the server has neither closed the connection nor sent
// unexpected bytes on it.
func (k *conn) isIdle() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	return peek.Conn(k.Conn) == peek.Idle
}

// responseBody returns its connection to the pool when it has been read to the
// end.
type responseBody struct {
	io.ReadCloser
	client  *Client
	conn    *conn
	address string
	// detachContext makes the end of the request's context no longer close the
	// connection. It returns false if the context has already ended.
	detachContext func() bool
	sending       *sending
	response      *http.Response
	// endsWithConn is true if the body has no length and ends with its connection.
	endsWithConn bool
	idleLifetime time.Duration
	finished     bool
	// isTruncated is true if the body was closed before its end.
	isTruncated bool
}

// writeEndTimeout is how long a body that ended with its connection waits for the end of the
// request, which was written by another goroutine.
const writeEndTimeout = 100 * time.Millisecond

// errNotSent is returned at the end of a connection while its request was being written. The
// kernel tells of a reset only once. If it has told the goroutine that writes, the one that
// reads sees an ordinary end.
var errNotSent = errors.New("the connection ended before the whole request was sent, so the response may be truncated")

// errBodyClosed is returned by reads of a body that was closed before its end.
var errBodyClosed = errors.New("the body of the response was closed before its end")

// Read reads from the body. At the end of the body, the connection becomes
// available to other requests.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.isTruncated {
		return 0, errBodyClosed
	}
	if b.finished {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.endsWithConn && !b.sending.completesWithin(writeEndTimeout) {
		err = errNotSent
	}
	if errors.Is(err, io.EOF) {
		if trailerErr := header.CheckNames(b.response.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	if err != nil {
		b.release(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

// release returns the connection to the pool if the request was written and the
// response read completely, and closes it otherwise.
func (b *responseBody) release(isComplete bool) {
	if b.finished {
		return
	}
	b.finished, b.isTruncated = true, !isComplete
	if !b.detachContext() || !isComplete || b.idleLifetime <= 0 || !b.sending.isComplete() || b.conn.reader.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	if b.conn.SetDeadline(time.Time{}) != nil {
		_ = b.conn.Close()
		return
	}
	b.conn.expiresAt = time.Now().Add(b.idleLifetime)
	b.client.push(b.address, b.conn)
}
