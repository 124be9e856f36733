// Package digest sends and receives digests of node states in UDP datagrams.
package digest

import (
	"bytes"
	"context"
	"fmt"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/greengagewind/greengagewind/gage"
)

// maxDatagramBytes is the size of the receive buffer, at least that of the
// largest UDP datagram.
const maxDatagramBytes = 64 << 10

// Socket sends and receives datagrams.
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

// Encode returns the datagram of a digest. Structs are encoded as arrays of their
// fields without names, so all nodes of a fleet must agree on the fields and
// their order.
func Encode(d gage.Digest) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	if err := encoder.Encode(d); err != nil {
		return nil, fmt.Errorf("encode digest: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode decodes a datagram. It returns an error if a state in it has no VM, no
// address or a negative age.
func Decode(datagram []byte) (gage.Digest, error) {
	var d gage.Digest
	if err := msgpack.Unmarshal(datagram, &d); err != nil {
		return d, fmt.Errorf("decode digest: %w", err)
	}
	for _, s := range d.States {
		if s.VM == "" || s.Address == "" || s.Age < 0 {
			return d, fmt.Errorf("invalid state in digest: it has no VM, no address or a negative age")
		}
	}
	return d, nil
}

// Send sends a datagram to the node at address, a host:port.
func (s *Socket) Send(address string, datagram []byte) error {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDP(datagram, udpAddress)
	return err
}

// Receive calls onDigest with each digest received, and onError when receiving or
// decoding a datagram fails. It returns when ctx ends, and closes the socket.
func (s *Socket) Receive(ctx context.Context, onDigest func(gage.Digest), onError func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			onError(err)
			continue
		}
		digest, err := Decode(buffer[:n])
		if err != nil {
			onError(err)
			continue
		}
		onDigest(digest)
	}
}
