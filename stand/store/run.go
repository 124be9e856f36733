// Package store is a stand-in for the platform's key-value service: an in-memory
// store that serves a subset of the JSON form of the etcd v3 API. A second address
// serves a control interface for fault injection.
package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// stopTimeout bounds how long a shutdown waits for calls in progress. It is also
// the limit for reading the headers of a request.
const stopTimeout = 2 * time.Second

// Options are the inputs of the store command.
type Options struct {
	// Listen is the host:port of the store's API.
	Listen string
	// Control is the host:port of the control interface.
	Control string
	// Seed seeds the random selection of calls that get a fault.
	Seed   uint64
	Logger *zap.Logger
}

// Run serves both addresses until ctx ends or one of them fails. It returns an
// error when it can't listen or a server fails.
func Run(ctx context.Context, o *Options) error {
	server := New(o.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	api, err := listen(ctx, o.Listen, server.Handler(), failed)
	if err != nil {
		return err
	}
	control, err := listen(ctx, o.Control, server.Control(), failed)
	if err != nil {
		_ = api.Close()
		return err
	}
	go server.Expire(ctx)
	o.Logger.Info("StoreStarted", zap.String("Listen", o.Listen), zap.String("Control", o.Control))
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	cancel()
	stop(api)
	stop(control)
	o.Logger.Info("StoreStopped")
	return err
}

// Expire deletes expired leases every 50 ms until ctx ends.
func (s *Server) Expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.table.expireLeases(now)
		case <-ctx.Done():
			return
		}
	}
}

// listen starts serving handler in the background and sends a failure of the
// server to failed. Open watches end when ctx ends.
func listen(ctx context.Context, address string, handler http.Handler, failed chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: stopTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve %s: %w", address, err)
		}
	}()
	return server, nil
}

// stop shuts a server down and closes it if calls are in progress after
// stopTimeout.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
