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
	"github.com/greengagewind/greengagewind/gage/transport/logkv"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
	"github.com/greengagewind/greengagewind/gage/transport/serve"
	"github.com/greengagewind/greengagewind/node/setup"
)

// recentEvents is how many decisions a node keeps for explanations.
const recentEvents = 8192

// node is one process of the fleet, put together.
type node struct {
	settings setup.Settings
	logger   *zap.Logger
	clock    clock.System
	metrics  *metrics.Set
	self     gage.Member

	store       gage.Store
	pool        *peer.Pool
	socket      *peer.GossipSocket
	rumors      *peer.GossipClient
	gossip      *gossip.Agent
	spread      *spread.Spread
	shares      *share.Agent
	quota       *quota.Limiter
	keeper      *dedup.Keeper
	claimer     *dedup.Claimer
	targets     *local.Targets
	admit       *admit.Admitter
	views       *entry.Views
	router      *route.Router
	ring        *recent.Ring
	activeCalls *host.ActiveCalls
	host        *host.Host
	entry       *entry.Entry
	relay       *relay.Relay

	peers     *grpc.Server
	callers   *serve.Server
	locals    *serve.Server
	operators *serve.Server
	stopTrace func()

	stopping atomic.Bool
	// duties run until cancel and are waited for in running.
	duties  context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// build puts a node together. Only the socket for membership is open yet.
func build(settings setup.Settings, logger *zap.Logger) (*node, error) {
	n := &node{settings: settings, logger: logger, metrics: metrics.NewSet()}
	n.duties, n.cancel = context.WithCancel(context.Background())
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

// process names this run of the node among all that ever were.
func (n *node) process() string {
	return fmt.Sprintf("%s@%d", n.self.VM, n.self.StartedAt)
}

func (n *node) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// buildFleet sets up what the nodes agree on.
func (n *node) buildFleet() error {
	n.store = etcd.New(n.settings.StoreEndpoints)
	n.pool = peer.NewPool()
	socket, err := peer.ListenGossip(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	n.socket = socket
	if n.rumors, err = peer.NewGossipClient(socket); err != nil {
		return err
	}
	n.gossip = gossip.New(gossip.Options{
		Self:    n.self,
		Seeds:   n.settings.Seeds,
		Store:   n.store,
		Sender:  n.rumors,
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

// buildDedup sets up the suppression of repeated idempotency keys.
func (n *node) buildDedup() {
	self := gage.Process{VM: n.self.VM, StartedAt: n.self.StartedAt}
	messages := peer.NewDedupClient(n.pool)
	n.keeper = dedup.NewKeeper(dedup.KeeperOptions{
		Self:    self,
		Shares:  n.shares,
		Peers:   messages,
		Clock:   n.clock,
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	n.claimer = dedup.NewClaimer(self, n.shares, messages, n.keeper)
}

// buildQuota sets up the fleet-wide limits of workspaces.
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

// buildTargets sets up what runs calls at the targets beside the node.
func (n *node) buildTargets() {
	n.views = &entry.Views{}
	n.ring = recent.New(recentEvents)
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
		AddressBook: addresses{n},
		ActiveCalls: n.activeCalls,
		Recent:      n.ring,
		Clock:       n.clock,
	})
}

// buildEntry sets up what takes requests in.
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
		Recent:      n.ring,
		Tally:       tally.New(n.metrics),
		Clock:       n.clock,
		NewID:       ids(n.self.VM),
		Random:      rand.Uint64,
		Sleep:       sleep,
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// freshness tells whether the configuration may still be acted on.
type freshness struct {
	spread *spread.Spread
}

// Fresh reports whether the node may serve keyed requests.
func (f freshness) Fresh(now time.Time) bool {
	return f.spread.Verdict(now).Serves()
}
