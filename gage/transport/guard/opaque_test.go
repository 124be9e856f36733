package guard_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/guard"
)

// Of the connections of another protocol, the one from which nothing has arrived for longest
// makes room.
func TestSilentConnectionsOfOtherProtocolsAreClosed(t *testing.T) {
	door := guard.New("test", guard.Share{Memory: 1, Sockets: 1, Requests: 0.8}, nil, guard.Options{
		Descriptors: descriptors, MaxHeaderBytes: func() int { return 1 },
		Clock: clock.System{}, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	inner, err := guard.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	listener := door.Listener(inner)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	echo := func(c net.Conn) error {
		if _, err := io.WriteString(c, "x"); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	first := connect(t, inner.Addr().String(), "")
	assert.NilError(t, echo(first))
	time.Sleep(5 * time.Millisecond)
	for range 3 * sockets {
		connect(t, inner.Addr().String(), "")
		time.Sleep(time.Millisecond)
		assert.NilError(t, echo(first), "a connection in use is kept")
	}
}
