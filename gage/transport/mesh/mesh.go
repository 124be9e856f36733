// Package mesh is the data path of a fleet whose nodes stand beside every
// target: it takes requests from callers on its VM, carries them to the node
// beside the chosen target, and runs those that other nodes bring.
package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/mirror"
	"github.com/greengagewind/greengagewind/gage/state/brake"
	"github.com/greengagewind/greengagewind/gage/state/ration"
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/state/site"
	"github.com/greengagewind/greengagewind/gage/state/spend"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
	"github.com/greengagewind/greengagewind/gage/transport/news"
)

// HeaderNames are the names of the HTTP headers that a deployment uses, in
// canonical form.
type HeaderNames struct {
	// RequestID identifies each attempt of a caller; responses echo it.
	RequestID string
	// DeadlineMillis is the time until the caller's deadline, in milliseconds.
	DeadlineMillis string
	// Signature is present on every successful response that a target made.
	Signature string
	// Workspace is the name of the request's workspace, for the target.
	Workspace string
	// ExpectedTarget is the ID of the only target process that may run the
	// request.
	ExpectedTarget string
	// NotExecuted is present on the response of a target that rejected the
	// request without running it.
	NotExecuted string
	// CallerService is the service of the target on the VM from which the
	// request was sent.
	CallerService string
	// Key is the caller's API key.
	Key string
	// TargetID is the ID of the target process, in responses to health checks.
	TargetID string
	// ColdMillis is how long the target stays cold, in milliseconds, in
	// responses to health checks.
	ColdMillis string
}

// Bounds are the limits that a deployment guarantees to its users.
type Bounds struct {
	// RevocationDelay is how long a revoked key may still be accepted.
	RevocationDelay time.Duration
	// RevokeEverywhere applies RevocationDelay also to nodes that cannot confirm
	// their configuration: they refuse requests that need a key.
	RevokeEverywhere bool
	// RetryRatio is the maximum number of retries to a service, relative to the
	// number of requests to it.
	RetryRatio float64
	// RetrySlack is how many retries beyond RetryRatio the fleet may send to a
	// service within a time window.
	RetrySlack float64
	// ColdOverage and ColdSlack bound the requests that a cold target receives in
	// a second: at most its cold rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// Grace is the maximum time that a process may take to stop.
	Grace time.Duration
}

// Self describes the VM of a node.
type Self struct {
	VM   string
	Zone string
	// Service is the service of the target on this VM.
	Service string
	// TargetAddress is the host:port at which the target serves requests.
	TargetAddress string
	// PeerAddress is the host:port at which this node serves the other nodes:
	// forwarded requests over TCP, node states over UDP.
	PeerAddress string
}

// Options holds what a Mesh depends on.
type Options struct {
	Self        Self
	HeaderNames HeaderNames
	Bounds      Bounds
	Store       gage.Poller
	// DocumentPrefix is the key prefix of the operators' documents in the store.
	DocumentPrefix string
	// NodePrefix is the key prefix under which each node registers its address
	// in the store.
	NodePrefix string
	// Decode parses the operators' documents into the configuration and the
	// names of the zones that are out of service. Generation 0 means that the
	// documents hold no configuration.
	Decode  func(entries map[string]gage.Entry) (gage.Config, []string, error)
	Clock   gage.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Mesh is one node.
type Mesh struct {
	options Options
	started int64
	site    atomic.Pointer[site.Site]
	roster  *roster.Roster
	ration  *ration.Table
	spend   *spend.Budget
	mirror  *mirror.Mirror
	brake   *brake.Brake
	// braked holds the routes of which not all requests are let in, as of the
	// last telling; only the duty that tells uses it.
	braked  map[string]bool
	sheds   sheds
	times   times
	beside  *beside
	socket  *news.Socket
	toPeers *hop.Client
	log     *decisions
	stats   *stats

	sequence atomic.Uint64
	leaving  atomic.Bool
	// listed is how many nodes this one has listed in the store, itself
	// included, 0 until it has.
	listed atomic.Int64
	// leftAt is the Unix time in nanoseconds at which leaving was set.
	leftAt  atomic.Int64
	flights flights
	kick    chan struct{}

	bounds atomic.Pointer[Bounds]
}

// The bounds of connections between nodes.
const (
	peerDialTimeout = 300 * time.Millisecond
	peerIdleTimeout = 20 * time.Second
	peerMaxIdle     = 256
)

// New builds a node and opens its socket for news.
func New(options Options) (*Mesh, error) {
	socket, err := news.Listen(options.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		options: options,
		started: options.Clock.Now().UnixMilli(),
		roster:  roster.New(options.Self.VM, options.Self.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ration:  ration.New(),
		spend:   spend.New(1),
		brake:   brake.New(),
		braked:  make(map[string]bool),
		socket:  socket,
		log:     newDecisions(options.Logger, options.Clock),
		stats:   newStats(options.Metrics),
		kick:    make(chan struct{}, 1),
	}
	m.toPeers = hop.New(hop.Options{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: peerMaxIdle})
	m.bounds.Store(&options.Bounds)
	m.beside = newBeside(m)
	m.mirror = mirror.New(mirror.Options{
		Store:      options.Store,
		Prefix:     options.DocumentPrefix,
		Clock:      options.Clock,
		Logger:     options.Logger,
		ReadsStore: m.readsStore,
		OnChange:   m.documentsChanged,
		Fetch:      m.fetchDocuments,
	})
	return m, nil
}

// SetBounds replaces the bounds, when the settings have changed.
func (m *Mesh) SetBounds(b Bounds) { m.bounds.Store(&b) }

// Run runs the duties of the node until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var running sync.WaitGroup
	duties := []func(context.Context){m.mirror.Run, m.tellNews, m.hearNews, m.join, m.beside.watch, m.prune}
	for _, duty := range duties {
		running.Add(1)
		go func() {
			defer running.Done()
			duty(ctx)
		}()
	}
	running.Wait()
}

// Close gives up the node's sockets.
func (m *Mesh) Close() { m.socket.Close() }

// Ready reports whether the node takes requests.
func (m *Mesh) Ready() bool {
	return !m.leaving.Load() && m.site.Load() != nil
}

// Leave stops taking new work: readiness turns bad and other nodes are told.
func (m *Mesh) Leave(now time.Time) {
	m.leftAt.Store(now.UnixNano())
	m.leaving.Store(true)
	m.tellSoon()
}

// The parts of the time to stop after which new requests are refused, since
// they might be cut: those of callers, who have been told by then, and the
// shorter ones of targets.
const (
	callersUntil = 0.47
	nestedUntil  = 0.75
)

// tooLate reports whether the node is so close to its end that a request which
// began now might be cut.
func (m *Mesh) tooLate(now time.Time, nested bool) bool {
	if !m.leaving.Load() {
		return false
	}
	part := callersUntil
	if nested {
		part = nestedUntil
	}
	since := time.Duration(now.UnixNano() - m.leftAt.Load())
	return since > time.Duration(part*float64(m.bounds.Load().Grace))
}

// RejectAll makes the node refuse every further request. Requests in flight
// are not affected.
func (m *Mesh) RejectAll() { m.flights.close() }

// InFlight returns how many requests the node has in hand.
func (m *Mesh) InFlight() int { return m.flights.count() }

// documentsChanged puts newer documents in force.
func (m *Mesh) documentsChanged(now time.Time, s mirror.Snapshot) {
	config, closed, err := m.options.Decode(s.Entries)
	if err != nil {
		m.options.Logger.Error("DocumentsRefused", zap.Int64("Revision", s.Revision), zap.Error(err))
	}
	m.setClosed(now, closed)
	if config.Generation > 0 {
		m.setConfig(now, config, s.Revision)
	}
	m.tellSoon()
}

func (m *Mesh) setClosed(now time.Time, closed []string) {
	m.roster.SetClosedZones(closed)
	m.beside.setClosed(now, closed)
}

func (m *Mesh) setConfig(now time.Time, config gage.Config, revision int64) {
	old := m.site.Load()
	if old != nil && config.Generation <= old.Config.Generation {
		return
	}
	next, err := site.New(config)
	if err != nil {
		m.options.Logger.Error("ConfigurationRefused", zap.Int64("Generation", config.Generation), zap.Error(err))
		return
	}
	m.site.Store(next)
	m.setRates(now, next)
	m.beside.configure(now)
	m.options.Logger.Info("ConfigurationInForce",
		zap.Int64("Generation", config.Generation), zap.Int64("Revision", revision), zap.Int("Routes", len(config.Routes)))
}

func (m *Mesh) setRates(now time.Time, s *site.Site) {
	for _, w := range s.Config.Workspaces {
		if !w.Unlimited {
			m.ration.SetLimits(now, w.Name, w.Rate, w.Burst, m.nodes())
		}
	}
	m.ration.Forget(func(name string) bool {
		w := s.WorkspaceByName(name)
		return w != nil && !w.Unlimited
	})
}

// setRepeats divides the repeats that all nodes may send at once.
func (m *Mesh) setRepeats(nodes int) {
	m.spend.SetBurst(max(1, m.bounds.Load().RetrySlack*repeatSlackUse/float64(max(nodes, 1))))
}

// repeatRatio is how many repeats a first attempt at a service earns. A repeat
// at a service that makes calls repeats those too, and they count there.
func (m *Mesh) repeatRatio(service string) float64 {
	part := callerRatioUse
	if m.roster.IsLeaf(service) {
		part = lastRatioUse
	}
	return part * m.bounds.Load().RetryRatio
}

// The parts of the retry bounds that are used, so that nodes which count apart
// stay within them together.
const (
	repeatSlackUse = 0.7
	// lastRatioUse holds at services that make no calls, callerRatioUse at the
	// others.
	lastRatioUse   = 0.8
	callerRatioUse = 0.3
)

// prune closes unused connections.
func (m *Mesh) prune(ctx context.Context) {
	every(ctx, time.Second, func() {
		now := m.options.Clock.Now()
		m.toPeers.Prune(now)
		m.beside.client.Prune(now)
		m.log.flush()
	})
}

// CallerHandler returns the handler for requests of callers on this VM.
func (m *Mesh) CallerHandler() http.Handler { return http.HandlerFunc(m.serveCaller) }

// PeerHandler returns the handler for other nodes: it serves forwarded requests
// and the operators' documents.
func (m *Mesh) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+documentsPath, m.serveDocuments)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTarget) != "" {
			m.serveForwarded(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
