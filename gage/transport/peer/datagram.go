package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/greengagewind/greengagewind/gage/protocol/rumor"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

const (
	// maxDatagramBytes keeps a datagram within the Ethernet MTU of 1500 bytes, so
	// that it is not fragmented.
	maxDatagramBytes   = 1400
	receiveBufferBytes = 2048
)

// GossipSocket sends and receives gossip messages as UDP datagrams. It uses the
// same address and port number as the node's gRPC server.
type GossipSocket struct {
	conn *net.UDPConn
	// Malformed counts the received datagrams that could not be decoded.
	Malformed atomic.Uint64
}

// ListenGossip opens a UDP socket at address, a host:port.
func ListenGossip(address string) (*GossipSocket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen for UDP datagrams: %w", err)
	}
	return &GossipSocket{conn: conn}, nil
}

// Serve passes received messages to receiver until Close is called. It returns
// nil after Close, or the error of a failed read.
func (s *GossipSocket) Serve(receiver GossipReceiver) error {
	datagram := make([]byte, receiveBufferBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(datagram)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read datagram: %w", err)
		}
		message := &wire.GossipMessage{}
		if proto.Unmarshal(datagram[:n], message) != nil {
			s.Malformed.Add(1)
			continue
		}
		receiver.Receive(rumor.FromWire(message))
	}
}

// Close closes the socket, which ends Serve.
func (s *GossipSocket) Close() error { return s.conn.Close() }

func (s *GossipSocket) send(to netip.AddrPort, message *wire.GossipMessage) error {
	datagram, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode gossip message of kind %s: %w", message.GetKind(), err)
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return fmt.Errorf("send datagram to %s: %w", to, err)
	}
	return nil
}
