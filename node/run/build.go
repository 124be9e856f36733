package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/admit"
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/coordination/local"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/coordination/spread"
	"github.com/greengagewind/greengagewind/gage/coordination/tally"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
	"github.com/greengagewind/greengagewind/gage/state/route"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/etcd"
	"github.com/greengagewind/greengagewind/gage/transport/guard"
	"github.com/greengagewind/greengagewind/gage/transport/logkv"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
	"github.com/greengagewind/greengagewind/gage/transport/serve"
	"github.com/greengagewind/greengagewind/node/setup"
)

// recentEventCapacity is the number of request events that a node keeps for the
// command explain.
const recentEventCapacity = 8192

// node holds the components of one process of the fleet.
type node struct {
	settings setup.Settings
	logger   *zap.Logger
	clock    clock.System
	metrics  *metrics.Set
	self     gage.Member

	store        gage.Store
	pool         *peer.Pool
	gossipSocket *peer.GossipSocket
	gossipClient *peer.GossipClient
	gossip       *gossip.Agent
	spread       *spread.Spread
	shares       *share.Agent
	quota        *quota.Limiter
	keeper       *dedup.Keeper
	claimer      *dedup.Claimer
	targets      *local.Targets
	admit        *admit.Admitter
	views        *entry.Views
	router       *route.Router
	recent       *recent.Ring
	activeCalls  *host.ActiveCalls
	host         *host.Host
	entry        *entry.Entry
	relay        *relay.Relay

	peerServer     *grpc.Server
	peerDoor       *guard.Door
	callerServer   *serve.Server
	targetServer   *serve.Server
	operatorServer *serve.Server
	stopTracing    func()

	stopping atomic.Bool
	// background is the context of the background tasks. stop cancels it.
	background context.Context
	cancel     context.CancelFunc
	// tasks tracks the background tasks and the peer servers. stop does not wait
	// for them.
	tasks sync.WaitGroup
}

// build creates the components of a node. When it returns, the UDP socket of gossip is
// the only open socket of the node.
func build(settings setup.Settings, logger *zap.Logger) (*node, error) {
	n := &node{settings: settings, logger: logger, metrics: metrics.NewSet()}
	n.background, n.cancel = context.WithCancel(context.Background())
	n.self = gage.Member{
		VM:              settings.VM,
		Zone:            settings.Zone,
		Region:          settings.Region,
		PeerAddress:     settings.PeerAddress,
		OperatorAddress: settings.OperatorAddress,
		StartedAt:       n.clock.Now().UnixMilli(),
		Phase:           gage.MemberAlive,
	}
	if err := n.buildFleet(); err != nil {
		return nil, err
	}
	n.buildTargets()
	n.buildEntry()
	if err := n.buildServers(); err != nil {
		return nil, err
	}
	logkv.SilenceLibraries()
	return n, nil
}

// processID returns an ID of this process that differs from the IDs of earlier
// processes on the same VM.
func (n *node) processID() string {
	return fmt.Sprintf("%s@%d", n.self.VM, n.self.StartedAt)
}

// random returns a generator with a random seed, for use by one component.
func (n *node) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// buildFleet creates the components that exchange state with other nodes:
// membership, configuration, quota shares and request deduplication.
func (n *node) buildFleet() error {
	n.store = etcd.New(n.settings.StoreEndpoints)
	n.pool = peer.NewPool()
	socket, err := peer.ListenGossip(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	n.gossipSocket = socket
	if n.gossipClient, err = peer.NewGossipClient(socket); err != nil {
		return err
	}
	n.gossip = gossip.New(gossip.Options{
		Self:    n.self,
		Seeds:   n.settings.Seeds,
		Store:   n.store,
		Sender:  n.gossipClient,
		Rand:    n.random(),
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	n.spread = spread.New(spread.Options{
		Members: n.gossip,
		Store:   n.store,
		Peer:    peer.SpreadClient{Pool: n.pool},
		Clock:   n.clock,
		Random:  n.random(),
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	n.buildQuota()
	n.buildDedup()
	return nil
}

// buildDedup creates the components that suppress requests with an idempotency key
// that was already used.
func (n *node) buildDedup() {
	self := gage.Process{VM: n.self.VM, StartedAt: n.self.StartedAt}
	client := peer.NewDedupClient(n.pool)
	n.keeper = dedup.NewKeeper(dedup.KeeperOptions{
		Self:    self,
		Shares:  n.shares,
		Peers:   client,
		Clock:   n.clock,
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	n.claimer = dedup.NewClaimer(self, n.shares, client, n.keeper)
}

// buildQuota creates the components that enforce the fleet-wide rate limits of
// workspaces.
func (n *node) buildQuota() {
	client := peer.NewQuotaClient(n.pool)
	n.shares = share.New(share.Options{
		Self:       n.self,
		Store:      n.store,
		Documents:  n.spread,
		Membership: n.gossip,
		Peers:      client,
		Clock:      n.clock,
		Random:     n.random(),
		Logger:     n.logger,
		Metrics:    n.metrics,
	})
	n.quota = quota.New(quota.Options{
		Self:    n.self,
		Shares:  n.shares,
		Peers:   client,
		Clock:   n.clock,
		Logger:  n.logger,
		Metrics: n.metrics,
	})
}

// buildTargets creates the components that admit calls to the targets on this VM
// and send them.
func (n *node) buildTargets() {
	n.views = &entry.Views{}
	n.recent = recent.New(recentEventCapacity)
	n.activeCalls = host.NewActiveCalls()
	n.relay = relay.New(n.clock)
	n.admit = admit.New(admit.Options{
		Logger:  n.logger,
		Metrics: n.metrics,
		Clock:   n.clock,
		Policy:  n.settings.Policy,
	})
	n.targets = local.New(local.Options{
		Membership: n.gossip,
		Notify:     n.targetChanged,
		ColdStart:  n.coldStart,
		Logger:     n.logger,
	})
	n.host = host.New(host.Options{
		VM:          n.self.VM,
		Admitter:    n.admit,
		Sender:      n.relay,
		AddressBook: addressBook{n},
		ActiveCalls: n.activeCalls,
		Recent:      n.recent,
		Clock:       n.clock,
	})
}

// buildEntry creates the components that accept and route requests.
func (n *node) buildEntry() {
	n.router = route.New(route.Self{VM: n.self.VM, Zone: n.self.Zone}, route.Source(rand.Uint64()))
	n.entry = entry.New(entry.Options{
		VM:          n.self.VM,
		Views:       n.views,
		Freshness:   freshness{n.spread},
		Limiter:     n.quota,
		Claimer:     n.claimer,
		Router:      n.router,
		Forwarder:   peer.NewForwarder(n.pool, n.host, n.clock),
		RetryRatio:  retry.NewTokenBucket(),
		ActiveCalls: n.activeCalls,
		Recent:      n.recent,
		Tally:       tally.New(n.metrics),
		Clock:       n.clock,
		NewID:       newIDGenerator(n.self.VM),
		Random:      rand.Uint64,
		Sleep:       sleep,
	})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// freshness checks the age of the configuration for entry.
type freshness struct {
	spread *spread.Spread
}

// Fresh reports whether the configuration was confirmed recently enough to serve
// requests that need an API key.
func (f freshness) Fresh(now time.Time) bool {
	return f.spread.Verdict(now).Serves()
}
