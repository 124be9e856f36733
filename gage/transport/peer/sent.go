package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

type sentFlagKey struct{}

// withSentFlag returns a context for a gRPC call, and a flag that is set once the
// call has been handed to a connection.
func withSentFlag(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return context.WithValue(ctx, sentFlagKey{}, sent), sent
}

// sentHandler is a gRPC stats handler that sets the flags of withSentFlag. gRPC
// reports the outgoing header after queuing it for the connection, so an unset
// flag proves that nothing was sent.
type sentHandler struct{}

// TagRPC returns ctx unchanged.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC sets the call's flag when its outgoing header is reported.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	header, ok := event.(*stats.OutHeader)
	if !ok || !header.Client {
		return
	}
	if sent, ok := ctx.Value(sentFlagKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn returns ctx unchanged.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn does nothing.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
