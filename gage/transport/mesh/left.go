package mesh

import (
	"context"
	"net"

	"github.com/greengagewind/greengagewind/gage/transport/peek"
)

type connKey struct{}

// ConnContext is the ConnContext of the HTTP servers of CallerHandler and PeerHandler. It
// lets a node see that a caller has left before it sends the caller's request on.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasLeft reports whether the sender of the request with the context ctx has closed its
// connection. The HTTP server also cancels ctx then, but only when the goroutine that
// reads from the connection has run. On a busy node, the request itself may run first.
func hasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peek.Conn(c) == peek.Closed
}
