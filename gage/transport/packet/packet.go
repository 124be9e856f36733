// Package packet sends and receives the datagrams between nodes over UDP.
package packet

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/dgram"
)

// maxDatagramBytes is the size of the receive buffer, at least that of the
// largest UDP datagram.
const maxDatagramBytes = 64 << 10

// Socket sends and receives packets.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a UDP socket at a host:port.
func Listen(address string) (*Socket, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve UDP address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for UDP datagrams at %s: %w", address, err)
	}
	return &Socket{conn: conn}, nil
}

// Close closes the socket. Further calls have no effect.
func (s *Socket) Close() { _ = s.conn.Close() }

// Send sends a packet to the nodes at the given addresses, each an IP address and a
// port. It returns the number of addresses to which it could not be sent, and the
// last error.
func (s *Socket) Send(p gage.Packet, addresses ...string) (failures int, err error) {
	datagram, err := dgram.Encode(p)
	if err != nil {
		return len(addresses), err
	}
	for _, address := range addresses {
		sendErr := s.send(address, datagram)
		if sendErr != nil {
			failures++
			err = sendErr
		}
	}
	return failures, err
}

func (s *Socket) send(address string, datagram []byte) error {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("send packet: %w", err)
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, addrPort); err != nil {
		return fmt.Errorf("send packet: %w", err)
	}
	return nil
}

// Receive calls onPacket with each packet received and the address of its sender, and
// onError when receiving or decoding a datagram fails, also if only some entries of a
// packet are invalid. It returns when ctx ends, and closes the socket.
func (s *Socket) Receive(ctx context.Context, onPacket func(p gage.Packet, sender string), onError func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, sender, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			onError(err)
			continue
		}
		p, err := dgram.Decode(buffer[:n])
		if err != nil {
			onError(err)
		}
		onPacket(p, sender.String())
	}
}
