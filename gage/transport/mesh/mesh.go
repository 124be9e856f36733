// Package mesh is the data path of a fleet in which a node runs as a sidecar on
// the VM of every target. A node accepts requests of callers on its VM, forwards
// them to the node on the VM of the chosen target, and runs the requests that
// other nodes forward to it.
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
	"github.com/greengagewind/greengagewind/gage/coordination/broker"
	"github.com/greengagewind/greengagewind/gage/coordination/mirror"
	"github.com/greengagewind/greengagewind/gage/state/brake"
	"github.com/greengagewind/greengagewind/gage/state/ration"
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/state/site"
	"github.com/greengagewind/greengagewind/gage/state/spend"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
	"github.com/greengagewind/greengagewind/gage/transport/packet"
	"github.com/greengagewind/greengagewind/gage/transport/spool"
)

// HeaderNames are the names of the HTTP headers that a deployment uses, in
// canonical form.
type HeaderNames struct {
	// RequestID names the header that identifies each attempt of a caller.
	// Responses echo it.
	RequestID string
	// DeadlineMillis names the header with the time until the caller's deadline,
	// in milliseconds.
	DeadlineMillis string
	// Signature names the header that every successful response of a target has.
	Signature string
	// Workspace names the header that gives the target the name of the request's
	// workspace.
	Workspace string
	// ExpectedTarget names the header with the ID of the only target process that
	// may run the request.
	ExpectedTarget string
	// NotExecuted names the header on the response of a target that rejected the
	// request without running it.
	NotExecuted string
	// CallerService names the header with the service of the target on the VM
	// from which the request was sent.
	CallerService string
	// Key names the header with the caller's API key.
	Key string
	// TargetID names the header with the ID of the target process, in responses
	// to health checks.
	TargetID string
	// RateLimit names the header with the requests per second that the target takes from
	// all nodes together, as long as its responses have the header.
	RateLimit string
	// Leaving names the header on the responses of a target that leaves.
	Leaving string
	// ColdMillis names the header with the time for which the target stays cold,
	// in milliseconds, in responses to health checks.
	ColdMillis string
}

// Bounds are the limits that a deployment guarantees to its users.
type Bounds struct {
	// RevocationDelay is how long a revoked key may still be accepted.
	RevocationDelay time.Duration
	// RevokeEverywhere makes RevocationDelay also hold on nodes that cannot
	// confirm their configuration. Such a node refuses requests that need a key.
	RevokeEverywhere bool
	// RetryRatio is the maximum number of retries to a service, relative to the
	// number of requests to it.
	RetryRatio float64
	// RetrySlack is how many retries beyond those that RetryRatio allows the fleet
	// may send to a service within a time window.
	RetrySlack float64
	// QuotaSlack is how many requests of a workspace beyond its rate and burst the
	// fleet may run within a time window.
	QuotaSlack float64
	// ColdOverage and ColdSlack bound the requests that a cold target receives in
	// a second: at most its cold rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// ChangeDelay is the time after which a change of the operators' documents must be in
	// force at all nodes that reach the store.
	ChangeDelay time.Duration
	// Grace is the maximum time that a process may take to stop.
	Grace time.Duration
}

// Self describes the VM of a node.
type Self struct {
	VM   string
	Zone string
	// Service is the service of the target on this VM at the start of the node. It may
	// change: see Mesh.SetService.
	Service string
	// TargetAddress is the host:port at which the target serves requests.
	TargetAddress string
	// PeerAddress is the host:port at which this node serves the other nodes:
	// forwarded requests over TCP, node states over UDP.
	PeerAddress string
}

// Options holds the settings and dependencies of a Mesh.
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
	// IsFirstStart is true if no node has been registered in the store before.
	IsFirstStart bool
	// MemoryBytes is the memory that the process may use, 0 if it is not limited.
	MemoryBytes int64
	// MaxIdleConns bounds the idle connections to all other nodes together, and those to the
	// target, 0 if they are not limited.
	MaxIdleConns int
	// Decode parses the operators' documents into the configuration and the
	// names of the zones that are out of service. Generation 0 means that the
	// documents hold no configuration.
	Decode func(entries map[string]gage.Entry) (gage.Config, []string, error)
	// DocumentVersion returns the version that operators gave a document, or 0 if it has
	// none.
	DocumentVersion func(e gage.Entry) int64
	Clock           gage.Clock
	Logger          *zap.Logger
	Metrics         *metrics.Set
}

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// leftAt is when the drain began, and closesAt when the node closes its servers.
	leftAt, closesAt time.Time
}

// Mesh is one node.
type Mesh struct {
	options Options
	// startedAt is the Unix time in milliseconds at which this process started.
	startedAt   int64
	site        atomic.Pointer[site.Site]
	roster      *roster.Roster
	broker      *broker.Broker
	retryBudget *spend.Budget
	mirror      *mirror.Mirror
	brake       *brake.Brake
	// throttledRoutes holds the routes that were throttled at the last broadcast.
	// Only the goroutine of broadcastStates uses it.
	throttledRoutes map[string]bool
	calls           callTracker
	callerRetries   retryDetector
	localTarget     *localTarget
	socket          *packet.Socket
	peerClient      *hop.Client
	// documentsClient keeps no connections: a kept one may have fallen silent, which shows
	// only at the end of a fetch's time.
	documentsClient *hop.Client
	spool           *spool.Spool
	log             *requestLog
	stats           *stats

	// sequence is the sequence number of this node's last state.
	sequence atomic.Uint64
	leaving  atomic.Bool
	// listedNodeCount is the number of nodes found in the store when this node
	// registered, including itself; 0 until then.
	listedNodeCount atomic.Int64
	// stop is set before leaving.
	stop         atomic.Pointer[stopTimes]
	requests     requestCounter
	broadcastNow chan struct{}

	bounds atomic.Pointer[Bounds]
	// service is the service of the target on this VM, as the settings name it.
	service atomic.Pointer[string]
}

// The limits of connections to other nodes.
const (
	peerDialTimeout  = 300 * time.Millisecond
	peerIdleTimeout  = 20 * time.Second
	peerMaxIdleConns = 256
	// peerHeadBytes and peerHeadLines are what a node adds to the header of a request or of
	// a target's response.
	peerHeadBytes = 4 << 10
	peerHeadLines = 32
)

// New returns a node and opens its UDP socket for node states. It fails if the
// socket cannot be opened.
func New(options Options) (*Mesh, error) {
	socket, err := packet.Listen(options.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		options:         options,
		startedAt:       options.Clock.Now().UnixMilli(),
		roster:          roster.New(options.Self.VM, options.Self.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		retryBudget:     spend.New(1),
		brake:           brake.New(),
		throttledRoutes: make(map[string]bool),
		socket:          socket,
		spool:           spool.New(options.MemoryBytes),
		log:             newRequestLog(options.Logger, options.Clock),
		stats:           newStats(options.Metrics),
		broadcastNow:    make(chan struct{}, 1),
	}
	m.broker = broker.New(options.Clock.Now(), broker.Options{Self: options.Self.VM, Clock: options.Clock, Send: m.requestTokens, Random: rand.Uint64})
	m.peerClient = hop.New(hop.Options{
		DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: peerMaxIdleConns, MaxIdleTotal: options.MaxIdleConns,
		AddedHeadBytes: peerHeadBytes, AddedHeadLines: peerHeadLines,
	})
	m.documentsClient = hop.New(hop.Options{DialTimeout: peerDialTimeout})
	m.bounds.Store(&options.Bounds)
	m.service.Store(&options.Self.Service)
	m.localTarget = newLocalTarget(m)
	m.mirror = mirror.New(mirror.Options{
		Store:    options.Store,
		Prefix:   options.DocumentPrefix,
		Clock:    options.Clock,
		Logger:   options.Logger,
		ReadRank: m.roster.Rank,
		MaxDelay: func() time.Duration { return m.bounds.Load().ChangeDelay },
		Version:  options.DocumentVersion,
		OnChange: m.documentsChanged,
		Fetch:    m.fetchDocuments,
	})
	return m, nil
}

// SetBounds replaces the bounds. It may be called while the node runs.
func (m *Mesh) SetBounds(b Bounds) {
	m.bounds.Store(&b)
	if s := m.site.Load(); s != nil {
		m.setRates(s)
	}
}

// SetService replaces the service that the settings name for the target on this VM. It may
// be called while the node runs. A target process that is already known is not taken for
// one of the new service until its heartbeat says so.
func (m *Mesh) SetService(now time.Time, service string) {
	if *m.service.Load() == service {
		return
	}
	m.service.Store(&service)
	m.options.Logger.Info("ServiceChanged", zap.String("Service", service))
	m.localTarget.handleServiceChange(now, service)
}

// Run runs the background loops of the node and returns when ctx has ended and
// all of them have stopped.
func (m *Mesh) Run(ctx context.Context) {
	var running sync.WaitGroup
	loops := []func(context.Context){m.mirror.Run, m.broadcastStates, m.receivePackets, m.keepRegistered, m.localTarget.monitor, m.prune}
	for _, loop := range loops {
		running.Add(1)
		go func() {
			defer running.Done()
			loop(ctx)
		}()
	}
	running.Wait()
}

// Close closes the node's UDP socket.
func (m *Mesh) Close() { m.socket.Close() }

// Ready reports whether the node has a configuration and is not leaving.
func (m *Mesh) Ready() bool {
	return !m.leaving.Load() && m.site.Load() != nil
}

// Leave starts the drain before a stop: Ready returns false from now on, and
// the other nodes are notified. At closesAt the servers of the node are closed.
func (m *Mesh) Leave(now, closesAt time.Time) {
	m.stop.Store(&stopTimes{leftAt: now, closesAt: closesAt})
	m.leaving.Store(true)
	m.broadcastSoon()
}

// A leaving node refuses new requests once one of these shares of Bounds.Grace has
// passed, since the stop might interrupt them. callerDrainShare applies to the
// requests of callers: it gives callers time to notice the drain.
// nestedDrainShare applies to the calls of targets. It is larger, since these calls
// are shorter.
const (
	callerDrainShare = 0.47
	nestedDrainShare = 0.75
)

// refusesNewRequests reports whether the node stops so soon that a request
// which began now might be interrupted.
func (m *Mesh) refusesNewRequests(now time.Time, nested bool) bool {
	if !m.leaving.Load() {
		return false
	}
	graceShare := callerDrainShare
	if nested {
		graceShare = nestedDrainShare
	}
	return gage.Elapsed(now, m.stop.Load().leftAt) > time.Duration(graceShare*float64(m.bounds.Load().Grace))
}

// closeMargin is how long before its servers are closed a leaving node must have the
// responses to the requests that it still accepts.
const closeMargin = 100 * time.Millisecond

// stopResponseMargin is how much earlier than a leaving node a target must give up, so that
// its response arrives in time even if nodes or the target are slow.
const stopResponseMargin = 300 * time.Millisecond

// boundByStop returns the deadline of a request that begins now, and when the node gives
// the request up. Both are the given deadline unless the node closes before.
func (m *Mesh) boundByStop(now, deadline time.Time) (bounded, giveUpAt time.Time) {
	if !m.leaving.Load() {
		return deadline, deadline
	}
	last := now.Add(-gage.Elapsed(now, m.stop.Load().closesAt) - closeMargin)
	return earlier(deadline, last.Add(-stopResponseMargin)), earlier(deadline, last)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// RejectAll makes the node refuse every further request. Requests in flight
// are not affected.
func (m *Mesh) RejectAll() { m.requests.rejectAll() }

// InFlight returns the number of requests that the node is serving.
func (m *Mesh) InFlight() int { return m.requests.count() }

// documentsChanged applies newer documents of the operators.
func (m *Mesh) documentsChanged(now time.Time, s mirror.Snapshot) {
	config, closedZones, err := m.options.Decode(s.Entries)
	if err != nil {
		m.options.Logger.Error("DocumentsRefused", zap.Int64("Revision", s.Revision), zap.Error(err))
	}
	m.setClosedZones(now, closedZones)
	if config.Generation > 0 {
		m.setConfig(now, config, s.Revision)
	}
	m.broadcastSoon()
}

func (m *Mesh) setClosedZones(now time.Time, zones []string) {
	m.roster.SetClosedZones(zones)
	m.localTarget.setClosedZones(now, zones)
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
	m.setRates(next)
	m.localTarget.applyConfig(now)
	m.options.Logger.Info("ConfigurationInForce",
		zap.Int64("Generation", config.Generation), zap.Int64("Revision", revision), zap.Int("Routes", len(config.Routes)))
	for i := range config.Routes {
		if r := &config.Routes[i]; r.Refusal != "" {
			m.log.warn("RouteRefused", zap.Int64("Generation", config.Generation), zap.String("Route", r.Name), zap.String("Cause", r.Refusal))
		}
	}
}

// setRates passes the limits of the workspaces to the broker. The burst includes the
// part of the deployment's tolerance that quotaSlackShare gives.
func (m *Mesh) setRates(s *site.Site) {
	limits := make(map[string]ration.Limits, len(s.Config.Workspaces))
	for _, w := range s.Config.Workspaces {
		if !w.Unlimited {
			limits[w.Name] = ration.Limits{Rate: w.Rate, Burst: w.Burst + quotaSlackShare*m.bounds.Load().QuotaSlack}
		}
	}
	m.broker.SetLimits(limits)
}

// quotaSlackShare is the share of Bounds.QuotaSlack that is added to the burst of
// each workspace. The rest covers the times in which the nodes disagree on who issues
// tokens.
const quotaSlackShare = 0.4

// setRetryBurst sets this node's part of the retries that the fleet may send at
// once.
func (m *Mesh) setRetryBurst(nodeCount int) {
	m.retryBudget.SetBurst(max(1, m.bounds.Load().RetrySlack*retrySlackShare/float64(max(nodeCount, 1))))
}

// retryRatio returns the fraction of a retry that each first attempt to a service
// adds to the retry budget. The fraction is lower for a service that makes calls.
// A retry to such a service repeats the calls as well, and they count against the
// bounds of the services called.
func (m *Mesh) retryRatio(service string) float64 {
	ratioShare := nonLeafRatioShare
	if m.roster.IsLeaf(service) {
		ratioShare = leafRatioShare
	}
	return ratioShare * m.bounds.Load().RetryRatio
}

// The shares of the retry bounds that the nodes use. Nodes count their retries
// independently, so their sum can exceed the used shares. The unused rest keeps the
// sum within the bounds.
const (
	retrySlackShare = 0.7
	// leafRatioShare applies to services that make no calls, nonLeafRatioShare to
	// the others.
	leafRatioShare    = 0.8
	nonLeafRatioShare = 0.3
)

// prune closes expired idle connections and logs the number of dropped log
// lines, once a second until ctx ends.
func (m *Mesh) prune(ctx context.Context) {
	every(ctx, time.Second, func() {
		now := m.options.Clock.Now()
		m.peerClient.Prune(now)
		m.localTarget.client.Prune(now)
		m.log.flush()
	})
}

// CallerHandler returns the handler for requests of callers on this VM.
func (m *Mesh) CallerHandler() http.Handler { return http.HandlerFunc(m.serveCaller) }

// maxHeaderBytes is the longest header of a request while no configuration limits it.
const maxHeaderBytes = 64 << 10

// MaxHeaderBytes returns how long the header of a request may be: the limit of the
// configuration, and what another node adds when it forwards the request.
func (m *Mesh) MaxHeaderBytes() int {
	if s := m.site.Load(); s != nil && s.Config.Limits.HeaderBytes > 0 {
		return s.Config.Limits.HeaderBytes + peerHeadBytes
	}
	return maxHeaderBytes
}

// CallerRefusal returns the handler for requests of callers that the process has no room
// for. They get 503 and do not run.
func (m *Mesh) CallerRefusal() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body := respondBeforeBody(rw, r)
		defer func() { body.drain(m.options.Clock.Now(), rw) }()
		body.announceClose(rw)
		q := &request{startedAt: m.options.Clock.Now()}
		q.id = r.Header.Get(m.options.HeaderNames.RequestID)
		m.writeError(rw, q, errorResponse{status: http.StatusServiceUnavailable, reason: gage.ReasonOverload, retryAfter: retryAfterBase, detail: "too many requests are in hand"})
	})
}

// PeerRefusal returns the handler for forwarded requests that the process has no room for.
func (m *Mesh) PeerRefusal() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body := respondBeforeBody(rw, r)
		defer func() { body.drain(m.options.Clock.Now(), rw) }()
		body.announceClose(rw)
		writePeerResponse(rw, notRun(gage.ReasonOverload, "too many requests are in hand"))
	})
}

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
