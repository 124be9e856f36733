// Package peek looks at a TCP connection without reading from it.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State string

// The states of a connection.
const (
	// Idle means that the other side has sent nothing that has not been read.
	Idle State = "Idle"
	// Readable means that bytes wait to be read.
	Readable State = "Readable"
	// Closed means that the other side has closed or reset the connection and that all
	// bytes before that have been read, or that this side has closed it.
	Closed State = "Closed"
)

// Conn returns the state of a connection, or of the one beneath that its method NetConn
// returns. A connection that is not a TCP connection always counts as idle. Conn may be called while another goroutine reads.
func Conn(c net.Conn) State {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return Idle
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN), errors.Is(peekErr, syscall.EINTR):
			state = Idle
		case peekErr == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
