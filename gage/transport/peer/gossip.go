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

// The limits of gossip messages that are sent as gRPC calls.
const (
	maxGossipConnections = 16
	maxGossipCalls       = 8
	gossipTimeout        = time.Second
)

// GossipReceiver handles the gossip messages that arrive. Receive returns false
// if it dropped the message.
type GossipReceiver interface {
	Receive(m gossip.Message) bool
}

type gossipServer struct {
	wire.UnimplementedGossipServer
	receiver GossipReceiver
}

// RegisterGossip registers the Gossip service on server, which passes received
// messages to receiver.
func RegisterGossip(server grpc.ServiceRegistrar, receiver GossipReceiver) {
	wire.RegisterGossipServer(server, gossipServer{receiver: receiver})
}

// Deliver passes a message to the receiver. The receipt does not show whether
// the receiver dropped it.
func (s gossipServer) Deliver(_ context.Context, m *wire.GossipMessage) (*wire.GossipReceipt, error) {
	s.receiver.Receive(rumor.FromWire(m))
	return &wire.GossipReceipt{}, nil
}

var errTooManyGossipCalls = errors.New("too many gossip calls in progress")

// GossipClient sends gossip messages. Messages of at most maxDatagramBytes go as
// datagrams; larger ones and those marked Reliable go as gRPC calls. It
// implements gossip.Sender. It has a connection pool of its own. Since a node sends gossip to
// every other node over time, the pool is limited to maxGossipConnections: a new
// connection beyond the limit closes the least recently used one.
type GossipClient struct {
	pool *Pool
	// callSlots has one element for each call in progress.
	callSlots chan struct{}
	mu        sync.Mutex
	// openAddresses holds the addresses of the open connections. The eviction of an
	// address closes its connection.
	openAddresses *lru.Cache[string, struct{}]
	socket        *GossipSocket
}

// NewGossipClient returns a client that sends datagrams through socket. It sends
// every message as a gRPC call if socket is nil, or if the address of the receiver
// has a host name in place of an IP address.
func NewGossipClient(socket *GossipSocket) (*GossipClient, error) {
	c := &GossipClient{pool: NewPool(), callSlots: make(chan struct{}, maxGossipCalls), socket: socket}
	openAddresses, err := lru.NewWithEvict(maxGossipConnections, func(address string, _ struct{}) { c.pool.Drop(address) })
	if err != nil {
		return nil, fmt.Errorf("create LRU cache of gossip connections: %w", err)
	}
	c.openAddresses = openAddresses
	return c, nil
}

// Send sends a message to the node at address and does not wait for a call to
// finish. It returns an error if the datagram could not be sent or if
// maxGossipCalls calls are in progress.
func (c *GossipClient) Send(_ context.Context, address string, m gossip.Message) error {
	message := rumor.ToWire(m)
	destination, err := netip.ParseAddrPort(address)
	if err == nil && c.socket != nil && !m.Reliable && proto.Size(message) <= maxDatagramBytes {
		return c.socket.send(destination, message)
	}
	select {
	case c.callSlots <- struct{}{}:
	default:
		return errTooManyGossipCalls
	}
	go func() {
		defer func() { <-c.callSlots }()
		c.deliver(address, message)
	}()
	return nil
}

// deliver sends a message as a gRPC call. After a failure it closes the
// connection, so that gRPC does not keep reconnecting to a VM that no longer
// exists.
func (c *GossipClient) deliver(address string, message *wire.GossipMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	conn, err := c.conn(address)
	if err == nil {
		_, err = wire.NewGossipClient(conn).Deliver(ctx, message)
	}
	if err != nil {
		c.openAddresses.Remove(address)
	}
}

func (c *GossipClient) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openAddresses.Add(address, struct{}{})
	return c.pool.Conn(address)
}

// Close closes the connections.
func (c *GossipClient) Close() {
	c.openAddresses.Purge()
	c.pool.Close()
}
