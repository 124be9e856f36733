package proxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/greengagewind/greengagewind/stand/proxy"
)

const line = "hello\n"

// startEchoServer starts a server that answers each line with the same line. It
// returns the address and the number of lines received so far.
func startEchoServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	lines := new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					text, err := r.ReadString('\n')
					if err != nil {
						return
					}
					lines.Add(1)
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

// exchange sends a line and returns the answer. It returns os.ErrDeadlineExceeded
// when the answer is incomplete after wait.
func exchange(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, line); err != nil {
		return "", err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	text := make([]byte, len(line))
	n, err := io.ReadFull(c, text)
	return string(text[:n]), err
}

// The times to wait for an answer, and to see that none comes.
const longWait, shortWait = 20 * time.Second, 300 * time.Millisecond

// startProxy starts a proxy in front of an echo server. It returns the proxy, a function
// that opens a connection to it, and the number of lines that the server has received.
func startProxy(t *testing.T) (p *proxy.Proxy, dial func() net.Conn, lines *atomic.Int64) {
	t.Helper()
	address, lines := startEchoServer(t)
	p, err := proxy.New("127.0.0.1:0", address)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, p.Close()) })
	return p, func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}, lines
}

func TestEachFault(t *testing.T) {
	t.Parallel()
	p, dial, lines := startProxy(t)
	for _, fault := range []proxy.Fault{proxy.Clean, proxy.Delayed} {
		p.SetFault(fault)
		text, err := exchange(dial(), longWait)
		assert.NilError(t, err)
		assert.Equal(t, text, line)
	}

	p.SetFault(proxy.Clean)
	open := dial()
	_, err := exchange(open, longWait)
	assert.NilError(t, err)
	before := lines.Load()
	p.SetFault(proxy.OneWay)
	_, err = exchange(open, shortWait)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.Load() == before+1 {
			return poll.Success()
		}
		return poll.Continue("the echo server has not received the line yet")
	})

	p.SetFault(proxy.Silent)
	_, err = exchange(open, longWait)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "an open connection whose data may have been discarded must be reset: %v", err)
	silent := dial()
	_, err = exchange(silent, shortWait)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Equal(t, lines.Load(), before+1)

	p.SetFault(proxy.Reset)
	_, err = exchange(silent, longWait)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	p.SetFault(proxy.Clean)
	text, err := exchange(dial(), longWait)
	assert.NilError(t, err)
	assert.Equal(t, text, line)
}

func TestStalledConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	t.Parallel()
	p, dial, lines := startProxy(t)
	stalled := dial()
	_, err := exchange(stalled, longWait)
	assert.NilError(t, err)
	p.Stall()
	_, err = exchange(stalled, shortWait)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	_, err = exchange(dial(), longWait)
	assert.NilError(t, err)
	_, err = exchange(stalled, shortWait)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Equal(t, lines.Load(), int64(2))
}
