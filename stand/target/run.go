package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	// drainIdlePeriod is how long a draining target must be idle before it
	// deregisters.
	drainIdlePeriod = 300 * time.Millisecond
	// drainPollInterval is the time between two checks for runs while draining.
	drainPollInterval = 20 * time.Millisecond
	// drainTimeout limits the drain, the wait for runs in progress and the
	// deregistration together.
	drainTimeout = 20 * time.Second
	// serverTimeout limits reading the header of a request, and shutting down
	// all servers.
	serverTimeout       = 5 * time.Second
	maxIdleConnsPerHost = 512
)

// Run serves requests until ctx is canceled. It then asks the node to drain the
// target, waits for the runs in progress, deregisters and returns. It returns an
// error when it cannot listen or when runs are still in progress after
// drainTimeout, and a command.UsageError when it cannot create the run log.
func Run(ctx context.Context, opts *Options) (err error) {
	runLog, err := record.Create(opts.RunLog)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	defer func() { err = errors.Join(err, runLog.Close()) }()
	logger := newLogger(opts)
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}

	capacity := NewCapacity(opts, time.Now())
	servers, err := startServers(map[string]http.Handler{
		opts.Listen:  newHandler(opts, capacity, client, runLog),
		opts.Control: newControl(capacity),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, shutDownServers(servers)) }()

	a := &announcer{opts: opts, client: client, logger: logger}
	waitForAnnouncer := startAnnouncing(ctx, a)
	logger.Info("TargetServing", zap.String("Address", opts.Listen))
	<-ctx.Done()
	waitForAnnouncer()
	return drainAndDeregister(opts, a, capacity, logger)
}

// startAnnouncing announces the target until ctx is canceled. The returned
// function waits until the last announcement has ended.
func startAnnouncing(ctx context.Context, a *announcer) (wait func()) {
	if a.opts.Node == "" {
		return func() {}
	}
	var running sync.WaitGroup
	running.Go(func() { a.run(ctx) })
	return running.Wait
}

// drainAndDeregister drains the target, waits for the runs in progress and
// deregisters. It has a time limit of its own, since the context of Run is already
// canceled.
func drainAndDeregister(opts *Options, a *announcer, capacity *Capacity, logger *zap.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if opts.Node != "" {
		if err := a.drain(ctx); err != nil {
			logger.Warn("DrainFailed", zap.Error(err))
		}
	}
	awaitIdle(ctx, capacity)
	if opts.Node != "" {
		if err := a.deregister(ctx); err != nil {
			logger.Warn("LeaveFailed", zap.Error(err))
		}
	}
	stats := capacity.Stats(time.Now())
	logger.Info("TargetLeft", zap.Int("Runs", stats.Runs), zap.Int("InFlight", stats.Concurrency))
	if stats.Concurrency > 0 {
		return fmt.Errorf("%d runs still in progress after %s", stats.Concurrency, drainTimeout)
	}
	return nil
}

// awaitIdle returns when no run has been in progress for drainIdlePeriod, or when
// ctx ends.
func awaitIdle(ctx context.Context, capacity *Capacity) {
	idleSince := time.Now()
	runs := capacity.Stats(idleSince).Runs
	for ctx.Err() == nil && time.Since(idleSince) < drainIdlePeriod {
		time.Sleep(drainPollInterval)
		stats := capacity.Stats(time.Now())
		if stats.Concurrency > 0 || stats.Runs != runs {
			idleSince = time.Now()
			runs = stats.Runs
		}
	}
}

// startServers serves each handler on its address, a host:port.
func startServers(handlers map[string]http.Handler) ([]*http.Server, error) {
	var servers []*http.Server
	for address, h := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen: %w", err), shutDownServers(servers))
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: serverTimeout}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	return servers, nil
}

func shutDownServers(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

func newLogger(opts *Options) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.LevelKey, config.MessageKey = "Time", "Level", "Event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.AddSync(opts.Streams.Err), zap.InfoLevel)
	return zap.New(core).With(zap.String("Target", opts.Name))
}
