package run

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeTime is how long a stopping node goes on as before, while peers
	// and callers learn to go elsewhere.
	noticeTime = 2 * time.Second
	// handOverTime bounds how long the node waits until others may take over
	// what it holds for the fleet. While the store is down nobody can, and the
	// time is needed for the requests in flight.
	handOverTime = 3 * time.Second
	idlePoll     = 10 * time.Millisecond
)

// stop ends the node without cutting a request: first it is announced as
// leaving, then it takes no new work, and only what is idle is closed.
func (n *node) stop() error {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.giveNotice(ctx)
	err := n.callers.Stop(ctx)
	n.host.Stop()
	if !n.host.WaitIdle(ctx, idlePoll) {
		err = errors.Join(err, errors.New("requests were still in flight at the stop timeout"))
	}
	err = errors.Join(err, n.claimer.Drain(ctx))
	n.stopPeers(ctx)
	err = errors.Join(err, n.locals.Stop(ctx), n.operators.Stop(ctx))
	n.cancel()
	n.admit.Close()
	n.relay.Close()
	n.rumors.Close()
	err = errors.Join(err, n.socket.Close())
	n.pool.Close()
	n.stopTrace()
	return err
}

// giveNotice tells peers and callers that the node leaves.
func (n *node) giveNotice(ctx context.Context) {
	n.targets.DrainAll(n.clock.Now())
	n.callers.Drain()
	sleep(ctx, noticeTime)
	n.handOver(ctx)
	n.gossip.Leave(ctx)
}

func (n *node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if err := n.shares.Stop(ctx); err != nil {
		n.logger.Warn("SharesNotHandedOver", zap.Error(err))
	}
}

// stopPeers waits for the calls of peers, and cuts them only at the timeout.
func (n *node) stopPeers(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		n.peers.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		n.peers.Stop()
	}
}
