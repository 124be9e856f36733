package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// testNode is a node that runs only the gossip protocol, over loopback.
type testNode struct {
	Agent   *gossip.Agent
	Address string
	Stop    func()
}

// startNode starts node number i. It serves gRPC and, if datagrams is set, UDP on
// the same port number.
func startNode(t *testing.T, i int, datagrams bool, seeds ...string) testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	var socket *peer.GossipSocket
	if datagrams {
		socket, err = peer.ListenGossip(address)
		assert.NilError(t, err)
	}
	client, err := peer.NewGossipClient(socket)
	assert.NilError(t, err)
	agent := gossip.New(gossip.Options{
		Self:   gage.Member{VM: fmt.Sprintf("vm%d", i), Zone: "a", Region: "r", PeerAddress: address, StartedAt: time.Now().UnixMilli()},
		Seeds:  seeds,
		Sender: client,
		Rand:   rand.New(rand.NewPCG(uint64(i), 1)),
	})
	server := grpc.NewServer()
	peer.RegisterGossip(server, agent)
	go func() { _ = server.Serve(listener) }()
	if socket != nil {
		go func() { _ = socket.Serve(agent) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		agent.Run(ctx, wallClock{})
	}()
	return testNode{Agent: agent, Address: address, Stop: func() {
		cancel()
		<-ended
		server.Stop()
		if socket != nil {
			_ = socket.Close()
		}
		client.Close()
	}}
}

func countAlive(agent *gossip.Agent) int {
	n := 0
	for _, m := range agent.Members() {
		if m.Phase == gage.MemberAlive {
			n++
		}
	}
	return n
}

func waitForAlive(t *testing.T, agent *gossip.Agent, want int) {
	t.Helper()
	for range 600 {
		if countAlive(agent) == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%d nodes are alive, want %d", countAlive(agent), want)
}

func testJoinAndLeave(t *testing.T, datagrams func(i int) bool) {
	t.Helper()
	const size = 5
	nodes := []testNode{startNode(t, 0, datagrams(0))}
	for i := 1; i < size; i++ {
		nodes = append(nodes, startNode(t, i, datagrams(i), nodes[0].Address))
	}
	for _, n := range nodes {
		defer n.Stop()
	}
	for _, n := range nodes {
		waitForAlive(t, n.Agent, size)
	}
	nodes[2].Agent.Leave(context.Background())
	waitForAlive(t, nodes[4].Agent, size-1)
}

func TestJoinAndLeaveOverDatagrams(t *testing.T) {
	testJoinAndLeave(t, func(int) bool { return true })
}

func TestJoinAndLeaveOverGRPCOnly(t *testing.T) {
	testJoinAndLeave(t, func(int) bool { return false })
}

// A node that receives no datagrams is probed by gRPC call instead, and must not
// be declared dead.
func TestNodeWithoutDatagramsStaysAlive(t *testing.T) {
	a := startNode(t, 0, true)
	defer a.Stop()
	b := startNode(t, 1, false, a.Address)
	defer b.Stop()
	waitForAlive(t, a.Agent, 2)
	waitForAlive(t, b.Agent, 2)
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for _, m := range a.Agent.Members() {
			assert.Assert(t, m.Phase != gage.MemberDead, m.VM)
		}
	}
	waitForAlive(t, a.Agent, 2)
}
