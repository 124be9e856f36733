package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/protocol/rumor"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// The bounds of membership messages by call.
const (
	gossipConnections = 16
	gossipCalls       = 8
	gossipTimeout     = time.Second
)

// GossipReceiver takes membership messages in. It returns false when it
// dropped one.
type GossipReceiver interface {
	Receive(m gossip.Message) bool
}

type gossipServer struct {
	wire.UnimplementedGossipServer
	receiver GossipReceiver
}

// RegisterGossip serves membership messages on a gRPC server.
func RegisterGossip(server grpc.ServiceRegistrar, receiver GossipReceiver) {
	wire.RegisterGossipServer(server, gossipServer{receiver: receiver})
}

// Deliver takes one message in.
func (s gossipServer) Deliver(_ context.Context, m *wire.GossipMessage) (*wire.GossipReceipt, error) {
	s.receiver.Receive(rumor.FromWire(m))
	return &wire.GossipReceipt{}, nil
}

var errGossipBusy = errors.New("too many membership calls are under way")

// GossipClient sends membership messages: small ones as datagrams, others by
// call. It implements gossip.Sender. Its connections are its own and few, since
// a node talks to every other in time.
type GossipClient struct {
	pool  *Pool
	calls chan struct{}
	mu    sync.Mutex
	// recent holds the addresses of the open connections.
	recent *lru.Cache[string, struct{}]
	socket *GossipSocket
}

// NewGossipClient returns a client that sends datagrams by socket, or all
// messages by call when socket is nil. Datagrams need addresses by IP number.
func NewGossipClient(socket *GossipSocket) (*GossipClient, error) {
	c := &GossipClient{pool: NewPool(), calls: make(chan struct{}, gossipCalls), socket: socket}
	recent, err := lru.NewWithEvict(gossipConnections, func(address string, _ struct{}) { c.pool.Drop(address) })
	if err != nil {
		return nil, fmt.Errorf("bound the membership connections: %w", err)
	}
	c.recent = recent
	return c, nil
}

// Send hands one message over for the node at address and does not wait.
func (c *GossipClient) Send(_ context.Context, address string, m gossip.Message) error {
	w := rumor.ToWire(m)
	to, err := netip.ParseAddrPort(address)
	if err == nil && c.socket != nil && !m.Reliable && proto.Size(w) <= maxDatagramBytes {
		return c.socket.send(to, w)
	}
	select {
	case c.calls <- struct{}{}:
	default:
		return errGossipBusy
	}
	go func() {
		defer func() { <-c.calls }()
		c.call(address, w)
	}()
	return nil
}

// call delivers one message. A failed connection is closed, so that nobody
// keeps knocking at a VM that is gone.
func (c *GossipClient) call(address string, w *wire.GossipMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	conn, err := c.conn(address)
	if err == nil {
		_, err = wire.NewGossipClient(conn).Deliver(ctx, w)
	}
	if err != nil {
		c.recent.Remove(address)
	}
}

func (c *GossipClient) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Add(address, struct{}{})
	return c.pool.Conn(address)
}

// Close closes the connections.
func (c *GossipClient) Close() {
	c.recent.Purge()
	c.pool.Close()
}
