package run

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// A draining node still accepts requests for drainNoticeTime. In this time,
	// other nodes and callers stop using the node.
	drainNoticeTime = 2 * time.Second
	// handOverTimeout bounds the handover of quota shares to other nodes. The
	// handover cannot succeed while the store is down. It must then leave enough of
	// the stop timeout for the requests in flight.
	handOverTimeout  = 3 * time.Second
	idlePollInterval = 10 * time.Millisecond
)

// stop stops the node gracefully within the stop timeout. It announces that the
// node is leaving, refuses new requests, waits for those in flight, and then closes
// the connections. The error states what was still in progress at the timeout.
func (n *node) stop() error {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.announceLeave(ctx)
	err := n.callerServer.Stop(ctx)
	n.host.Stop()
	if !n.host.WaitIdle(ctx, idlePollInterval) {
		err = errors.Join(err, errors.New("requests were still in flight at the stop timeout"))
	}
	err = errors.Join(err, n.claimer.Drain(ctx))
	n.stopPeers(ctx)
	err = errors.Join(err, n.targetServer.Stop(ctx), n.operatorServer.Stop(ctx))
	n.cancel()
	n.admit.Close()
	n.relay.Close()
	n.gossipClient.Close()
	err = errors.Join(err, n.gossipSocket.Close())
	n.pool.Close()
	n.stopTracing()
	return err
}

// announceLeave drains the node's targets, closes the connections of callers after
// their next response, hands over the quota shares and leaves gossip.
func (n *node) announceLeave(ctx context.Context) {
	n.targets.DrainAll(n.clock.Now())
	n.callerServer.Drain()
	sleep(ctx, drainNoticeTime)
	n.handOverShares(ctx)
	n.gossip.Leave(ctx)
}

// handOverShares hands over the quota shares that this node holds.
func (n *node) handOverShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := n.shares.Stop(ctx); err != nil {
		n.logger.Warn("SharesNotHandedOver", zap.Error(err))
	}
}

// stopPeers stops the server for other nodes. It waits for their calls and aborts
// them when ctx ends.
func (n *node) stopPeers(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		n.peerServer.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		n.peerServer.Stop()
	}
}
