// Package guard bounds what the clients of a process make it hold: connections, headers,
// and bytes that were received and not read yet. A server has a Door, with a share of the
// memory and descriptors of the process, so that clients of one server take nothing from
// the others. What does not fit is closed, the idle and the slowest clients first.
package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/evict"
)

// reservedDescriptors is how many descriptors are not used for sockets.
const reservedDescriptors = 200

// minBytes and minConns are what a server may take at least, however small its share.
const (
	minBytes = 2 << 20
	minConns = 4
)

const (
	// maxRoomWait is the longest time for which a new connection waits for room.
	maxRoomWait = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines on closed connections.
	logInterval = time.Second
)

// Options holds the limits of a process and the dependencies of its doors.
type Options struct {
	// MemoryBytes and Descriptors are what the process may use, 0 if they are not limited.
	MemoryBytes int64
	Descriptors int
	// MaxHeaderBytes returns how long the header of a request may be.
	MaxHeaderBytes func() int
	Clock          gage.Clock
	Logger         *zap.Logger
	Metrics        *metrics.Set
}

// Share is the part of a process's limits that the connections of one server may take.
type Share struct {
	// Memory is divided equally between connections with their headers, and requests in hand.
	Memory float64
	// Sockets is for accepted connections, Requests for those of them that have a request in
	// hand.
	Sockets, Requests float64
}

// Door tracks the connections of one server. It is safe for concurrent use.
type Door struct {
	name    string
	options Options
	// refusal answers the requests that may not be taken in hand.
	refusal http.Handler
	closed  *metrics.Counter
	refused *metrics.Counter

	mu    sync.Mutex
	table *evict.Table
	// unreadLimit bounds the bytes that all connections have received and the server has not
	// read. isWatching is true while shedUnread is due.
	unreadLimit int64
	isWatching  bool
	// needsRoom is true while open waits, and room makes it try again.
	needsRoom bool
	room      chan struct{}
	// unlogged is how many connections were closed or refused since the last log line.
	unlogged int
	loggedAt time.Time
}

// New returns the door of the server with the given name. It passes requests that may not
// be taken in hand to refusal, which must not run them.
func New(name string, share Share, refusal http.Handler, options Options) *Door {
	l := limits(share, options)
	return &Door{
		name:        name,
		refusal:     refusal,
		options:     options,
		table:       evict.New(l),
		unreadLimit: int64(unreadShare * float64(l.Bytes)),
		room:        make(chan struct{}, 1),
		closed:      options.Metrics.GetOrCreateCounter(fmt.Sprintf("gage_connections_closed_total{Server=%q}", name)),
		refused:     options.Metrics.GetOrCreateCounter(fmt.Sprintf("gage_connections_refused_total{Server=%q}", name)),
	}
}

func limits(share Share, options Options) evict.Limits {
	l := evict.Unlimited
	if options.MemoryBytes > 0 {
		l.Bytes = max(minBytes, int64(share.Memory*float64(options.MemoryBytes)))
	}
	if options.Descriptors > 0 {
		sockets := float64(Sockets(options.Descriptors))
		l.Conns = max(minConns, int(share.Sockets*sockets))
		l.Requests = max(minConns, int(share.Requests*sockets))
	}
	return l
}

// Sockets returns how many of a number of descriptors are used for sockets.
func Sockets(descriptors int) int { return max(0, descriptors-reservedDescriptors) }

// Serve makes a server use the door, and serves the connections of the listener. It returns
// the error of http.Server.Serve.
func (d *Door) Serve(server *http.Server, l net.Listener) error {
	server.Handler = d.handler(server.Handler)
	server.ConnState = d.handleState
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(d.cancelable(ctx, c), connKey{}, c)
	}
	return server.Serve(&listener{Listener: l, door: d})
}

// cancelable returns a context that ends with a connection.
func (d *Door) cancelable(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	return ctx
}

// Listener returns a listener for a server of another protocol than HTTP. The door closes
// the connection from which nothing has arrived for longest.
func (d *Door) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, door: d, isOpaque: true}
}

// listener accepts the connections of a door.
type listener struct {
	net.Listener
	door     *Door
	isOpaque bool
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.door.open(accepted, l.isOpaque); ok {
			return c, nil
		}
	}
}

// open adds an accepted connection, or closes it and returns false. While there is no room,
// it waits up to maxRoomWait: further connections wait in the kernel meanwhile.
func (d *Door) open(accepted net.Conn, isOpaque bool) (net.Conn, bool) {
	c := &conn{Conn: accepted, door: d, isOpaque: isOpaque, inHead: !isOpaque}
	if d.admit(c) {
		return c, true
	}
	timeout := time.NewTimer(maxRoomWait)
	defer timeout.Stop()
	for {
		select {
		case <-d.room:
			if d.admit(c) {
				return c, true
			}
		case <-timeout.C:
			d.refused.Inc()
			d.log(1)
			c.abort()
			return nil, false
		}
	}
}

// admit adds a connection if there is room.
func (d *Door) admit(c *conn) bool {
	d.mu.Lock()
	entry, evicted, ok := d.table.Open(d.options.Clock.Now(), c)
	c.entry = entry
	d.needsRoom = !ok
	d.mu.Unlock()
	d.abortAll(evicted)
	return ok
}

// signalRoom tells open that a connection was closed or may be. The caller must hold mu.
func (d *Door) signalRoom() {
	if !d.needsRoom {
		return
	}
	select {
	case d.room <- struct{}{}:
	default:
	}
}

// abortAll closes connections that are no longer in the table.
func (d *Door) abortAll(evicted []*evict.Conn) {
	if len(evicted) == 0 {
		return
	}
	d.closed.Add(len(evicted))
	d.log(len(evicted))
	for _, e := range evicted {
		if c, ok := e.Value.(*conn); ok {
			c.abort()
		}
	}
}

// log writes a line for the connections that were closed, at most one each logInterval.
func (d *Door) log(closed int) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlogged += closed
	if now.Sub(d.loggedAt) < logInterval {
		return
	}
	d.options.Logger.Warn("ConnectionsClosed", zap.String("Server", d.name), zap.Int("Closed", d.unlogged),
		zap.Int("Open", d.table.Len()), zap.Int64("OpenBytes", d.table.Bytes()))
	d.unlogged, d.loggedAt = 0, now
}

// handleState follows the states that an HTTP server gives its connections.
func (d *Door) handleState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	var evicted []*evict.Conn
	d.mu.Lock()
	switch state {
	case http.StateActive:
		c.inHead = false
		evicted, ok = d.table.Take(c.entry)
		c.isRefused = !ok
		d.watchUnread()
	case http.StateIdle:
		d.table.Finish(d.options.Clock.Now(), c.entry)
		c.inHead, c.headBytes = true, 0
		c.headWait++
		if d.needsRoom {
			// The client may have sent its next request already. Those who wait take turns.
			d.table.Close(c.entry)
			evicted = append(evicted, c.entry)
		}
		d.signalRoom()
	case http.StateClosed, http.StateHijacked:
		d.table.End(c.entry)
		d.signalRoom()
	case http.StateNew:
	}
	d.mu.Unlock()
	d.abortAll(evicted)
}
