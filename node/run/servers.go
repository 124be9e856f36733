package run

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/edge"
	"github.com/greengagewind/greengagewind/gage/transport/guard"
	"github.com/greengagewind/greengagewind/gage/transport/oper"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
	"github.com/greengagewind/greengagewind/gage/transport/serve"
	"github.com/greengagewind/greengagewind/gage/transport/trace"
	"github.com/greengagewind/greengagewind/node/setup"
)

// The limits of connections from other nodes.
const (
	maxPeerMessageBytes = 2 << 20
	maxPeerHeaderBytes  = 64 << 10
	// peerHandshakeTimeout bounds the time until a new connection speaks HTTP/2.
	peerHandshakeTimeout = 5 * time.Second
	// maxPeerStreams is the maximum number of concurrent calls on a connection.
	maxPeerStreams      = 4096
	minPeerPingInterval = 5 * time.Second
)

// The shares of the process's memory and sockets that the connections of each server may
// take. Each connection may need one more socket, to another node or to a target.
var (
	callersShare = guard.Share{Memory: 0.25, Sockets: 0.2, Requests: 0.16}
	targetsShare = guard.Share{Memory: 0.15, Sockets: 0.1, Requests: 0.08}
	// Half of peersShare is for requests in hand, which the door of another protocol does not
	// know. The rest has room for a connection of each other node of a large fleet.
	peersShare     = guard.Share{Memory: 0.4, Sockets: 0.15}
	operatorsShare = guard.Share{Memory: 0.02, Sockets: 0.02, Requests: 0.02}
)

func (n *node) guardOptions() guard.Options {
	descriptors := n.settings.FileDescriptors
	var limit syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return guard.Options{
		MemoryBytes: int64(n.settings.MemoryMB) << 20, Descriptors: descriptors,
		MaxHeaderBytes: func() int { return serve.MaxHeaderBytes },
		Clock:          n.clock, Logger: n.logger, Metrics: n.metrics,
	}
}

// buildServers creates the servers of the node without opening their listeners.
func (n *node) buildServers() error {
	newID := newIDGenerator(n.self.VM)
	door := func(name string, share guard.Share, refusal http.Handler) *guard.Door {
		return guard.New(name, share, refusal, n.guardOptions())
	}
	n.peerDoor = door("peers", peersShare, nil)
	refusal := edge.Refusal(newID)
	var err error
	callerDoor := door("callers", callersShare, refusal)
	if n.callerServer, err = serve.New("callers", n.settings.CallerAddress, edge.Callers(n.entry, newID), callerDoor); err != nil {
		return err
	}
	targetHandler := edge.Targets(n.entry, n.targets, n.clock, newID)
	targetDoor := door("targets", targetsShare, refusal)
	if n.targetServer, err = serve.New("targets", n.settings.TargetAddress, targetHandler, targetDoor); err != nil {
		return err
	}
	operatorHandler := oper.Handler(n, n.metrics, n.recent)
	operatorDoor := door("operators", operatorsShare, refusal)
	if n.operatorServer, err = serve.New("operators", n.settings.OperatorAddress, operatorHandler, operatorDoor); err != nil {
		return err
	}
	n.peerServer = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxPeerMessageBytes),
		grpc.MaxSendMsgSize(maxPeerMessageBytes),
		grpc.MaxConcurrentStreams(maxPeerStreams),
		grpc.MaxHeaderListSize(maxPeerHeaderBytes),
		grpc.ConnectionTimeout(peerHandshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPeerPingInterval, PermitWithoutStream: true}),
	)
	peer.RegisterForward(n.peerServer, n.host, n.clock, n.processID())
	peer.RegisterGossip(n.peerServer, n.gossip)
	peer.RegisterSpread(n.peerServer, n.spread)
	peer.RegisterQuota(n.peerServer, n.quota, n.shares)
	peer.RegisterDedup(n.peerServer, n.keeper, n.clock)
	return nil
}

// start opens the listeners and starts the background tasks.
func (n *node) start() error {
	n.stopTracing = trace.Start(n.self.VM, traceSettings(n.settings.Trace))
	if err := n.startPeers(); err != nil {
		return err
	}
	for _, server := range []*serve.Server{n.operatorServer, n.targetServer, n.callerServer} {
		if err := server.Start(); err != nil {
			return err
		}
	}
	n.startBackground()
	return nil
}

// startPeers starts the gRPC server and the gossip socket for other nodes.
func (n *node) startPeers() error {
	listener, err := guard.Listen(n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", n.settings.PeerAddress, err)
	}
	n.tasks.Go(func() {
		if err := n.peerServer.Serve(n.peerDoor.Listener(listener)); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			n.logger.Error("PeerServerFailed", zap.Error(err))
		}
	})
	n.tasks.Go(func() {
		if err := n.gossipSocket.Serve(n.gossip); err != nil && !errors.Is(err, net.ErrClosed) {
			n.logger.Error("GossipSocketFailed", zap.Error(err))
		}
	})
	return nil
}

// startBackground starts the background tasks, which run until n.cancel is called.
func (n *node) startBackground() {
	n.spread.Subscribe(gage.StoreConfigKey, n.configChanged)
	n.tasks.Go(func() { n.gossip.Run(n.background, n.clock) })
	n.tasks.Go(func() { n.spread.Run(n.background) })
	n.tasks.Go(func() { n.shares.Run(n.background) })
	n.tasks.Go(func() { n.quota.Run(n.background) })
	n.tasks.Go(func() { n.keeper.Run(n.background) })
	n.tasks.Go(func() { n.targets.Run(n.background, n.clock) })
	n.tasks.Go(func() { n.followMembers(n.background) })
}

func traceSettings(s setup.Trace) trace.Settings {
	endpoint := s.Endpoint
	if s.Exporter == setup.ExporterFile {
		endpoint = s.File
	}
	return trace.Settings{Exporter: trace.Exporter(s.Exporter), Endpoint: endpoint, Sample: s.Sample}
}
