// Package peek looks at a TCP connection without reading from it.
package peek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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
	tcp, ok := beneath(c)
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

// Unread returns the number of bytes that a connection has received and that were not read.
// It is 0 if that cannot be known.
func Unread(c net.Conn) int64 {
	tcp, ok := beneath(c)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.TIOCINQ); ioctlErr == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return int64(unread)
}

// beneath returns the TCP connection beneath c.
func beneath(c net.Conn) (*net.TCPConn, bool) {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}
