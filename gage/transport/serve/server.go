// Package serve runs HTTP servers that stop gracefully.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/greengagewind/greengagewind/gage/transport/guard"
)

// The limits of a connection.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// MaxHeaderBytes is the longest header of a request. The door refuses longer ones.
	MaxHeaderBytes = 64 << 10
)

// Server is a go-zero rest server without the middleware of go-zero. The node itself
// implements concurrency limits, load shedding, timeouts and retries.
type Server struct {
	rest     *rest.Server
	address  string
	door     *guard.Door
	listener net.Listener
	// httpServer receives the HTTP server of rest just before it listens.
	httpServer chan *http.Server
	router     *catchAllRouter
}

// New returns a server that passes every request on address, an IP:port, to handler. door
// bounds its connections. The errors of New contain name.
func New(name, address string, handler http.Handler, door *guard.Door) (*Server, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q of the %s server: %w", address, name, err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("port %q of the %s server: %w", portText, name, err)
	}
	conf := rest.RestConf{Host: host, Port: port}
	conf.Name = name
	conf.Log.Mode = "console"
	conf.Telemetry.Disabled = true
	conf.Shutdown.WrapUpTime = shutdownDelay
	conf.Shutdown.WaitTime = shutdownDelay
	catchAll := &catchAllRouter{handler: handler}
	server, err := rest.NewServer(conf, rest.WithChain(chain.New()), rest.WithRouter(catchAll))
	if err != nil {
		return nil, fmt.Errorf("build the %s server: %w", name, err)
	}
	return &Server{
		rest:       server,
		address:    address,
		door:       door,
		httpServer: make(chan *http.Server, 1),
		router:     catchAll,
	}, nil
}

// shutdownDelay is the time after which the signal handler of go-zero ends the
// process. It is so long that this never happens, since the node itself stops its
// servers in order and waits for the requests in flight.
const shutdownDelay = 1000 * time.Hour

// Start starts to serve requests and returns.
func (s *Server) Start() error {
	listener, err := guard.Listen(s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.listener = listener
	go s.rest.StartWithOpts(s.serve)
	return nil
}

// serve serves until Stop. go-zero calls it before it listens, which would be without the
// door, and finds the server stopped when it returns.
func (s *Server) serve(server *http.Server) {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = MaxHeaderBytes
	s.httpServer <- server
	if err := s.door.Serve(server, s.listener); !errors.Is(err, http.ErrServerClosed) {
		// Without its listener the server is of no use, and go-zero would end the process too.
		logx.Must(err)
	}
}

// Drain makes each further response close its connection, so that clients connect to
// other nodes before Stop closes the idle connections.
func (s *Server) Drain() {
	s.router.draining.Store(true)
}

// Stop accepts no new connections and waits until the requests in flight have been
// answered. It returns an error if ctx ends first. Call it once, after Start.
func (s *Server) Stop(ctx context.Context) error {
	select {
	case server := <-s.httpServer:
		if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stop %s: %w", s.address, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop %s: %w", s.address, ctx.Err())
	}
}

// catchAllRouter passes requests of every method and path to one handler. The node
// does the routing instead of go-zero, since the routes are part of the operators'
// configuration and change while the server runs.
type catchAllRouter struct {
	handler http.Handler
	// draining makes each response close its connection.
	draining atomic.Bool
}

// ServeHTTP passes the request to the handler.
func (r *catchAllRouter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	r.handler.ServeHTTP(w, request)
}

// Handle ignores its arguments: go-zero routes are not used.
func (r *catchAllRouter) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler ignores its argument: every path has a handler.
func (r *catchAllRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler ignores its argument: every method has a handler.
func (r *catchAllRouter) SetNotAllowedHandler(http.Handler) {}

var _ httpx.Router = (*catchAllRouter)(nil)
