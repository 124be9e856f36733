// Package peer carries messages between nodes: gRPC calls, and UDP datagrams for
// small gossip messages.
package peer

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// The limits of the connections to peers.
const (
	maxMessageBytes   = 2 << 20
	maxConnections    = 4096
	connectTimeout    = time.Second
	reconnectMaxDelay = time.Second
)

// Pool holds at most one connection to each peer, for up to maxConnections peers.
// It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to the peer at address, a host:port. It does not
// wait until the connection is established. It returns an error if the pool is
// full.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	if len(p.conns) >= maxConnections {
		return nil, fmt.Errorf("connect to peer %s: already connected to %d peers", address, maxConnections)
	}
	conn, err := grpc.NewClient("passthrough:///"+address, dialOptions()...)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

func dialOptions() []grpc.DialOption {
	reconnectBackoff := backoff.DefaultConfig
	reconnectBackoff.MaxDelay = reconnectMaxDelay
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	}
}

// Drop closes and removes the connection to the peer at address, if there is one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// Close closes and removes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
