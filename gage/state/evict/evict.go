// Package evict decides which connections a server closes when its connections together
// take more sockets or memory than they may: those whose clients are slowest.
package evict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ConnBytes is the estimated memory of a connection without a request: the buffers and
	// the goroutine of the HTTP server.
	ConnBytes = 16 << 10
	// RequestBytes is the estimated memory that a request in hand adds, without its header
	// and body: goroutines, and the buffers of a connection to its target.
	RequestBytes = 32 << 10
	// LineBytes is the estimated memory that a line of a header takes beyond its length: map
	// entries and slices, in the copies that a request passes through.
	LineBytes = 200
	// requestByteShare is the share of the memory that requests in hand may take. The rest
	// is for connections and headers, so that neither crowds out the other.
	requestByteShare = 0.5
	// closingShare is the share of the connections that may be closing with a request at a
	// time, at least minClosing of them. More are not evicted: those whose clients return at
	// once would otherwise pile up faster than the server ends them.
	closingShare = 0.1
	minClosing   = 4
)

// Limits bound the connections of one server together.
type Limits struct {
	// Conns is the maximum number of connections, and Requests that of connections with a
	// request in hand. It is lower, which leaves room for clients whose requests can only be
	// refused.
	Conns, Requests int
	// Bytes is the maximum of their estimated memory.
	Bytes int64
}

// Unlimited are the limits of a process whose memory and descriptors are not limited.
var Unlimited = Limits{Conns: math.MaxInt, Requests: math.MaxInt, Bytes: math.MaxInt64}

// Conn is a connection of a Table. Only the table changes it.
type Conn struct {
	// Value is the value that Open was given.
	Value any
	// waits is the number of goroutines that wait for the client to send or to read. While
	// it is 0, the client waits for the server.
	waits int
	// since is when the present request began, or the wait for the next one.
	since time.Time
	// bytes is the estimated memory without the request in hand.
	bytes int64
	// inHand is true while the connection has a request in hand.
	inHand bool
	// request counts the requests of the connection.
	request int
	// isClosing is true once the connection was evicted with a request, until End.
	isClosing bool
	// index is the position in Table.conns, -1 once the connection is closed.
	index int
}

// Table holds the connections of one server. It is not safe for concurrent use.
type Table struct {
	conns []*Conn
	// bytes is the sum of Conn.bytes.
	bytes int64
	// inHand is the number of connections with a request in hand.
	inHand int
	// closing is the number of evicted connections with requests that the server has not
	// ended yet.
	closing int
	// maxConns, maxBytes, maxInHand and maxClosing bound the above.
	maxConns   int
	maxBytes   int64
	maxInHand  int
	maxClosing int
}

// New returns a table without connections.
func New(limits Limits) *Table {
	requestBytes := int64(requestByteShare * float64(limits.Bytes))
	return &Table{
		maxConns: limits.Conns, maxBytes: limits.Bytes - requestBytes,
		maxInHand:  max(1, min(limits.Requests, int(requestBytes/RequestBytes))),
		maxClosing: max(minClosing, int(closingShare*float64(limits.Conns))),
	}
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.conns) }

// Bytes returns the estimated memory of all connections.
func (t *Table) Bytes() int64 { return t.bytes + int64(t.inHand)*RequestBytes }

// Open adds a connection, which waits for its first request. The caller must close the
// connections returned as evicted, which are no longer in the table, and call End for each
// once the server has ended it. If ok is false, there is no room, since the server is working
// for all others or still ends evicted ones, and the connection is not added.
func (t *Table) Open(now time.Time, value any) (c *Conn, evicted []*Conn, ok bool) {
	for len(t.conns) >= t.maxConns || t.bytes+ConnBytes > t.maxBytes {
		victim := t.slowest(anyConn)
		if len(t.conns) < t.maxConns {
			victim = t.slowest(t.isLarge)
		}
		if !t.evict(victim) {
			return nil, evicted, false
		}
		evicted = append(evicted, victim)
	}
	c = &Conn{Value: value, waits: 1, since: now, bytes: ConnBytes, index: len(t.conns)}
	t.conns = append(t.conns, c)
	t.bytes += ConnBytes
	return c, evicted, true
}

// Close removes a connection. It does nothing if the connection is not in the table.
func (t *Table) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	last := t.conns[len(t.conns)-1]
	t.conns[c.index], last.index = last, c.index
	t.conns[len(t.conns)-1] = nil
	t.conns = t.conns[:len(t.conns)-1]
	t.release(c)
	t.bytes -= c.bytes
	c.index, c.bytes = -1, 0
}

// evict removes a connection that the caller will close. It returns false if victim is nil,
// or has begun a request and too many such are closing already.
func (t *Table) evict(victim *Conn) bool {
	if victim == nil {
		return false
	}
	if victim.inHand || victim.bytes > ConnBytes {
		if t.closing >= t.maxClosing {
			return false
		}
		victim.isClosing = true
		t.closing++
	}
	t.Close(victim)
	return true
}

// End tells that the server has ended a connection, evicted or not.
func (t *Table) End(c *Conn) {
	t.Close(c)
	if c.isClosing {
		c.isClosing = false
		t.closing--
	}
}

// release ends the request in hand, if there is one.
func (t *Table) release(c *Conn) {
	if c.inHand {
		c.inHand = false
		t.inHand--
	}
}

// Begin begins a request, of which the first bytes have arrived. The server still waits for
// the rest of its header.
func (t *Table) Begin(now time.Time, c *Conn) { c.since = now }

// Finish ends a request. The connection waits for the next one.
func (t *Table) Finish(now time.Time, c *Conn) {
	if c.index < 0 {
		return
	}
	t.release(c)
	t.bytes -= c.bytes - ConnBytes
	c.bytes, c.waits, c.since = ConnBytes, 1, now
	c.request++
}

// Wait tells that a goroutine waits for the client. It returns what to pass to Resume when
// the wait has ended.
func (t *Table) Wait(c *Conn) (request int) {
	c.waits++
	return c.request
}

// Resume ends a wait of the given request. It does nothing if the request has ended.
func (t *Table) Resume(c *Conn, request int) {
	if request == c.request && c.waits > 0 {
		c.waits--
	}
}

// Grow adds n bytes to the estimated memory of a connection. The caller must close the
// connections returned as evicted, which are no longer in the table. If c itself is the
// slowest that may be closed, or none may be, Grow returns false and adds nothing.
func (t *Table) Grow(c *Conn, n int64) (evicted []*Conn, ok bool) {
	if c.index < 0 {
		return nil, false
	}
	for t.bytes+n > t.maxBytes {
		victim := t.slowest(t.isLarge)
		if victim == c || !t.evict(victim) {
			return evicted, false
		}
		evicted = append(evicted, victim)
	}
	c.bytes += n
	t.bytes += n
	return evicted, true
}

// Take takes a request in hand whose header has been read, if there is room or another one
// in hand waits for its client. The caller must close the connections returned as evicted.
func (t *Table) Take(c *Conn) (evicted []*Conn, ok bool) {
	if c.index < 0 || c.inHand {
		return nil, c.inHand
	}
	if t.inHand >= t.maxInHand {
		victim := t.slowest(hasRequest)
		if !t.evict(victim) {
			return nil, false
		}
		evicted = append(evicted, victim)
	}
	c.inHand = true
	t.inHand++
	return evicted, true
}

// InHand returns the number of connections with a request in hand.
func (t *Table) InHand() int { return t.inHand }

// Shed removes connections with a request in hand until what the others have received and
// the server has not read is at most limit, and returns them: those that wait for their
// clients, the slowest first, then those with most unread bytes. unread returns the unread
// bytes of a connection.
func (t *Table) Shed(limit int64, unread func(c *Conn) int64) []*Conn {
	type holder struct {
		conn   *Conn
		unread int64
	}
	var holders []holder
	var sum int64
	for _, c := range t.conns {
		if !c.inHand {
			continue
		}
		if n := unread(c); n > 0 {
			holders = append(holders, holder{c, n})
			sum += n
		}
	}
	slices.SortStableFunc(holders, func(a, b holder) int {
		aWaits, bWaits := a.conn.waits > 0, b.conn.waits > 0
		switch {
		case aWaits && bWaits:
			return a.conn.since.Compare(b.conn.since)
		case aWaits:
			return -1
		case bWaits:
			return 1
		}
		return cmp.Compare(b.unread, a.unread)
	})
	var evicted []*Conn
	for _, h := range holders {
		if sum <= limit {
			break
		}
		if !t.evict(h.conn) {
			break
		}
		sum -= h.unread
		evicted = append(evicted, h.conn)
	}
	return evicted
}

// slowest returns the connection that has waited longest for its client among those for
// which filter returns true, or nil if the server works for all of them. The time counts
// from the beginning of the request, whatever the client has sent since: one that sends
// without end is not faster than one that stops.
func (t *Table) slowest(filter func(c *Conn) bool) *Conn {
	var slowest *Conn
	for _, c := range t.conns {
		if c.waits > 0 && filter(c) && (slowest == nil || c.since.Before(slowest.since)) {
			slowest = c
		}
	}
	return slowest
}

func anyConn(*Conn) bool { return true }

func hasRequest(c *Conn) bool { return c.inHand }

// isLarge reports whether a connection takes no less than the mean of all. Long headers make
// way for each other before short ones do.
func (t *Table) isLarge(c *Conn) bool { return c.bytes*int64(len(t.conns)) >= t.bytes }
