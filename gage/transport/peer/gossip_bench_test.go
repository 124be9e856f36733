package peer_test

import (
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/state/member"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
)

// receivedMessages is a GossipReceiver and the channel on which it sends each
// received message.
type receivedMessages chan gossip.Message

func (r receivedMessages) Receive(m gossip.Message) bool {
	r <- m
	return true
}

// probeMessage returns a ping with one brief member record.
func probeMessage(reliable bool) gossip.Message {
	return gossip.Message{
		Kind: gossip.KindPing, From: "vm0001", FromAddress: "10.100.100.100:7002", Seq: 1, Reliable: reliable,
		Records: []member.Record{{Brief: true, Member: gage.Member{
			VM: "vm0001", StartedAt: 1_800_000_000_000, Incarnation: 1_800_000_000_000, Phase: gage.MemberAlive,
		}}},
	}
}

// BenchmarkOneMessage measures the CPU time that the sender and the receiver of a
// ping use together. It compares a datagram, a call over an open connection and a
// call over a new connection.
func BenchmarkOneMessage(b *testing.B) {
	b.Run("Datagram", func(b *testing.B) { benchmarkMessage(b, false, false) })
	b.Run("OpenConnection", func(b *testing.B) { benchmarkMessage(b, true, false) })
	b.Run("NewConnection", func(b *testing.B) { benchmarkMessage(b, true, true) })
}

func benchmarkMessage(b *testing.B, reliable, reconnect bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := listener.Addr().String()
	received := make(receivedMessages, 1)
	server := grpc.NewServer()
	peer.RegisterGossip(server, received)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	socket, err := peer.ListenGossip(address)
	assert.NilError(b, err)
	go func() { _ = socket.Serve(received) }()
	defer func() { _ = socket.Close() }()
	client, err := peer.NewGossipClient(socket)
	assert.NilError(b, err)
	defer client.Close()
	m := probeMessage(reliable)
	before := cpuTime(b)
	for b.Loop() {
		if reconnect {
			client.Close()
		}
		for client.Send(b.Context(), address, m) != nil {
			// Earlier calls have been received but not yet answered, so that all
			// call slots are in use.
			runtime.Gosched()
		}
		<-received
		if reconnect {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/msg")
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
