package guard

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/evict"
	"github.com/greengagewind/greengagewind/gage/transport/peek"
)

const (
	// ReceiveBufferBytes is the receive buffer of a connection. The kernel would let it grow
	// to some megabytes for a client that sends faster than the node reads. It counts as
	// memory of the process.
	ReceiveBufferBytes = 64 << 10
	// unreadShare is the part of a server's memory that unread bytes may take besides.
	unreadShare = 0.3
	// unreadInterval is the interval between looks at unread bytes while there are so many
	// requests in hand that they might exceed their limit.
	unreadInterval = 50 * time.Millisecond
)

// Listen listens on a TCP address, for connections with bounded receive buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: BoundReceiveBuffer}
	return config.Listen(context.Background(), "tcp", address)
}

// BoundReceiveBuffer is the Control function of a listener or dialer that sets the receive
// buffer of its connections.
func BoundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBufferBytes)
	})
	if err == nil {
		err = optErr
	}
	if err != nil {
		return fmt.Errorf("set the receive buffer: %w", err)
	}
	return nil
}

// watchUnread closes connections while the unread bytes of all exceed their limit. It starts
// when so many requests are in hand that they might, and ends when there are fewer. The
// caller must hold mu.
func (d *Door) watchUnread() {
	if d.isWatching || !d.mayExceedUnread() {
		return
	}
	d.isWatching = true
	time.AfterFunc(unreadInterval, d.shedUnread)
}

func (d *Door) mayExceedUnread() bool {
	return int64(d.table.InHand())*2*ReceiveBufferBytes > d.unreadLimit
}

func (d *Door) shedUnread() {
	d.mu.Lock()
	d.isWatching = false
	evicted := d.table.Shed(d.unreadLimit, func(e *evict.Conn) int64 {
		c, ok := e.Value.(*conn)
		if !ok {
			return 0
		}
		return peek.Unread(c.Conn)
	})
	d.watchUnread()
	d.mu.Unlock()
	d.abortAll(evicted)
}
