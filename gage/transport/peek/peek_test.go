package peek_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/greengagewind/greengagewind/gage/transport/peek"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	assert.NilError(t, err)
	far, err = listener.AcceptTCP()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func await(t *testing.T, c net.Conn, want peek.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := peek.Conn(c); got != want {
			return poll.Continue("%s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func TestStates(t *testing.T) {
	t.Run("closed after its last byte was read", func(t *testing.T) {
		near, far := connect(t)
		assert.Equal(t, peek.Conn(near), peek.Idle)
		_, err := far.Write([]byte("x"))
		assert.NilError(t, err)
		await(t, near, peek.Readable)
		assert.NilError(t, far.Close())
		await(t, near, peek.Readable)
		_, err = near.Read(make([]byte, 1))
		assert.NilError(t, err)
		await(t, near, peek.Closed)
	})
	t.Run("reset", func(t *testing.T) {
		near, far := connect(t)
		assert.NilError(t, far.SetLinger(0))
		assert.NilError(t, far.Close())
		await(t, near, peek.Closed)
	})
	t.Run("closed by this side", func(t *testing.T) {
		near, _ := connect(t)
		assert.NilError(t, near.Close())
		assert.Equal(t, peek.Conn(near), peek.Closed)
	})
	t.Run("while another goroutine reads", func(t *testing.T) {
		near, _ := connect(t)
		go func() { _, _ = near.Read(make([]byte, 1)) }()
		await(t, near, peek.Idle)
	})
	t.Run("not TCP", func(t *testing.T) {
		near, far := net.Pipe()
		assert.NilError(t, far.Close())
		assert.Equal(t, peek.Conn(near), peek.Idle)
	})
}
