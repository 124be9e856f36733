package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errDecisionsExpired means that a request's AdmitBy had passed when its first
// byte was about to be written.
var errDecisionsExpired = errors.New("the decisions made for the request have expired")

// errWritesBlocked means that blockWrites was called for a connection.
var errWritesBlocked = errors.New("writes to the connection are blocked")

// guardedConn is a connection to a target. It records whether a byte of the
// current request may have been written, and fails the first write of a request whose
// AdmitBy has passed. It is safe for concurrent use.
type guardedConn struct {
	net.Conn
	now func() time.Time

	mu sync.Mutex
	// admitBy is the time after which the first byte may not be written.
	admitBy time.Time
	// mayHaveWritten is true once a byte of the current request may have been
	// written.
	mayHaveWritten bool
	writesBlocked  bool
}

// Write writes b. It returns errWritesBlocked after blockWrites, and
// errDecisionsExpired if b would be the first bytes of a request whose AdmitBy
// has passed.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked {
		return 0, errWritesBlocked
	}
	if !c.mayHaveWritten && c.now().After(c.admitBy) {
		return 0, errDecisionsExpired
	}
	c.mayHaveWritten = true
	return c.Conn.Write(b)
}

// beginRequest prepares the connection for the next request.
func (c *guardedConn) beginRequest(admitBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitBy = admitBy
	c.mayHaveWritten = false
}

// blockWrites makes all further writes fail. It reports whether a byte of the
// current request may have been written before.
func (c *guardedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.mayHaveWritten
}
