package guard_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/guard"
)

const (
	// descriptors leave 10 sockets, of which a server with a share of 1 gets all.
	descriptors = 210
	sockets     = 10
	// takenInHand is how many requests of them are taken in hand at a time.
	takenInHand = 8
	timeout     = 5 * time.Second
	// maxHeaderBytes is the longest header of a request.
	maxHeaderBytes = 16 << 10
	request        = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// serve starts a server with a door and returns its address.
func serve(t *testing.T, options guard.Options, handler http.HandlerFunc) string {
	t.Helper()
	options.Clock, options.Logger, options.Metrics = clock.System{}, zap.NewNop(), metrics.NewSet()
	options.MaxHeaderBytes = func() int { return maxHeaderBytes }
	refusal := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	door := guard.New("test", guard.Share{Memory: 1, Sockets: 1, Requests: 0.8}, refusal, options)
	listener, err := guard.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = door.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// connect opens a connection and sends a text.
func connect(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(timeout)))
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

// status returns the status of the next response on a connection.
func status(c net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, err
}

func TestNewConnectionReplacesTheSlowest(t *testing.T) {
	address := serve(t, guard.Options{Descriptors: descriptors}, func(http.ResponseWriter, *http.Request) {})
	first := connect(t, address, "GET / HTTP/1.1\r\n")
	time.Sleep(10 * time.Millisecond)
	for range sockets - 1 {
		connect(t, address, "")
	}
	for range 3 {
		n, err := status(connect(t, address, request))
		assert.NilError(t, err)
		assert.Equal(t, n, http.StatusOK)
	}
	_, err := status(first)
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(err.Error(), "timeout"), "%v", err)
}

func TestRequestsInHandAreKeptAndFurtherOnesRefused(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, sockets)
	address := serve(t, guard.Options{Descriptors: descriptors}, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	var inHand []net.Conn
	for range takenInHand {
		inHand = append(inHand, connect(t, address, request))
		<-begun
	}
	for range 3 {
		n, err := status(connect(t, address, request))
		assert.NilError(t, err)
		assert.Equal(t, n, http.StatusServiceUnavailable)
	}
	close(release)
	for _, c := range inHand {
		n, err := status(c)
		assert.NilError(t, err)
		assert.Equal(t, n, http.StatusOK)
	}
}

// The handler of a request whose connection is closed for another ends, also while it waits
// for something else and does not read.
func TestRequestOfAClosedConnectionIsCanceled(t *testing.T) {
	canceled := make(chan struct{}, 100)
	address := serve(t, guard.Options{MemoryBytes: 4 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	const clients, unread = 31, 1 << 20
	for range clients {
		c := connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n")
		go func() { _, _ = io.WriteString(c, strings.Repeat("x", unread)) }()
	}
	select {
	case <-canceled:
	case <-time.After(timeout):
		t.Fatal("no request is canceled")
	}
}

// A client that has stopped in the middle of a body gives way to another request.
func TestStalledBodyGivesWay(t *testing.T) {
	address := serve(t, guard.Options{Descriptors: descriptors}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for range takenInHand {
		connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
	}
	for range 3 {
		n, err := status(connect(t, address, request))
		assert.NilError(t, err)
		assert.Equal(t, n, http.StatusOK)
	}
}

// headerOf returns a request whose header has a number of bytes, in lines as short as can be.
func headerOf(bytes int) string {
	var text strings.Builder
	text.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := 0; text.Len() < bytes-12; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String() + "\r\n"
}

func TestHeaderWithinTheLimitIsServed(t *testing.T) {
	address := serve(t, guard.Options{MemoryBytes: 16 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})
	c := connect(t, address, "")
	for range 20 {
		_, err := io.WriteString(c, headerOf(maxHeaderBytes))
		assert.NilError(t, err)
		n, err := status(c)
		assert.NilError(t, err)
		assert.Equal(t, n, http.StatusOK)
	}
}

func TestHeaderWithoutEndIsRefused(t *testing.T) {
	served := false
	address := serve(t, guard.Options{}, func(http.ResponseWriter, *http.Request) { served = true })
	n, err := status(connect(t, address, strings.TrimSuffix(headerOf(2*maxHeaderBytes), "\r\n")))
	assert.NilError(t, err)
	assert.Equal(t, n, http.StatusRequestHeaderFieldsTooLarge)
	assert.Assert(t, !served)
}

// Headers that do not fit the memory together close the slowest clients. An ordinary
// request is served.
func TestHeadersTogetherStayWithinTheMemory(t *testing.T) {
	address := serve(t, guard.Options{MemoryBytes: 4 << 20}, func(http.ResponseWriter, *http.Request) {})
	stalled := strings.TrimSuffix(headerOf(maxHeaderBytes), "\r\n")
	var conns []net.Conn
	for range 20 {
		conns = append(conns, connect(t, address, stalled))
		time.Sleep(5 * time.Millisecond)
	}
	n, err := status(connect(t, address, request))
	assert.NilError(t, err)
	assert.Equal(t, n, http.StatusOK)
	_, err = status(conns[0])
	assert.Assert(t, err != nil, "the slowest is closed")
}

// Clients send more requests than the server reads. What the kernel holds for them together
// stays within the memory: some are closed, but none that has sent little.
func TestUnreadBytesTogetherStayWithinTheMemory(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, guard.Options{MemoryBytes: 4 << 20}, func(http.ResponseWriter, *http.Request) { <-release })
	modest := connect(t, address, request)
	const clients, piledUp = 31, 1 << 20
	closed := make(chan error, clients)
	for range clients {
		c := connect(t, address, request)
		go func() {
			_, _ = io.WriteString(c, strings.Repeat(request, piledUp/len(request)))
			_, err := status(c)
			closed <- err
		}()
	}
	assert.Assert(t, errors.Is(<-closed, syscall.ECONNRESET))
	close(release)
	n, err := status(modest)
	assert.NilError(t, err)
	assert.Equal(t, n, http.StatusOK)
}
