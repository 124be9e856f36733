package spread_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
)

// network joins the nodes and the store.
type network struct {
	world   *world
	latency time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// loss is the share of messages, each way, that are lost.
	loss float64
	// repeat is the share of requests that arrive a second time, later.
	repeat float64
	// cut holds the VMs and zones that reach nobody outside themselves.
	cut map[string]bool
	// messages and bytes count what was sent between nodes.
	messages, bytes int64
}

// set changes the faults.
func (n *network) set(change func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *network) draw(share float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < share
}

func (n *network) repeats() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.repeat
}

// carry delays a message and tells whether it arrives.
func (n *network) carry(ctx context.Context, from, to string, size int) bool {
	n.mu.Lock()
	n.messages++
	n.bytes += int64(size)
	delay := n.latency/2 + time.Duration(n.random.Int64N(int64(n.latency)+1))
	lost := n.random.Float64() < n.loss || n.severed(from, to)
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	return wait(ctx, delay)
}

// severed must be called with mu held. The store is outside every cut.
func (n *network) severed(from, to string) bool {
	if from == to {
		return false
	}
	if n.cut[from] || n.cut[to] {
		return true
	}
	fromZone, toZone := n.zone(from), n.zone(to)
	return fromZone != toZone && (n.cut[fromZone] || n.cut[toZone])
}

func (n *network) zone(address string) string {
	if address == storeAddress {
		return ""
	}
	return n.world.zoneOf(address)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// nodePeer is the Peer of one node.
type nodePeer struct {
	node *node
}

func (p *nodePeer) Exchange(ctx context.Context, address string, d spread.Digest) (spread.Digest, error) {
	p.node.running()
	net, peer := p.node.world.net, p.node.world.at(address)
	if !net.carry(ctx, p.node.member.PeerAddress, address, digestSize(d)) {
		return spread.Digest{}, errLost
	}
	if net.repeats() {
		go func() {
			time.Sleep(10 * net.latency)
			peer.now().AnswerExchange(time.Now(), d)
		}()
	}
	// A frozen peer takes the request in when it thaws, long after this node
	// has given up.
	answered := make(chan spread.Digest, 1)
	go func() {
		peer.running()
		answered <- peer.now().AnswerExchange(time.Now(), d)
	}()
	var answer spread.Digest
	select {
	case answer = <-answered:
	case <-ctx.Done():
		return spread.Digest{}, errLost
	}
	if !net.carry(ctx, address, p.node.member.PeerAddress, digestSize(answer)) {
		return spread.Digest{}, errLost
	}
	p.node.running()
	return answer, ctx.Err()
}

func (p *nodePeer) Pull(ctx context.Context, address string, pull spread.PullRequest) (spread.PullReply, error) {
	p.node.running()
	net, peer := p.node.world.net, p.node.world.at(address)
	if !net.carry(ctx, p.node.member.PeerAddress, address, len(pull.Key)+8) {
		return spread.PullReply{}, errLost
	}
	answered := make(chan spread.PullReply, 1)
	go func() {
		peer.running()
		answered <- peer.now().AnswerPull(pull)
	}()
	var answer spread.PullReply
	select {
	case answer = <-answered:
	case <-ctx.Done():
		return spread.PullReply{}, errLost
	}
	if !net.carry(ctx, address, p.node.member.PeerAddress, len(answer.Key)+len(answer.Body)+24) {
		return spread.PullReply{}, errLost
	}
	p.node.running()
	return answer, ctx.Err()
}

// digestSize estimates the size of a digest as a protobuf message in bytes.
func digestSize(d spread.Digest) int {
	const fixed, perHead, perZone = 12, 10, 16
	size := fixed + len(d.From)
	for _, h := range d.Heads {
		size += perHead + len(h.Key)
	}
	for _, z := range d.Zones {
		size += perZone + len(z.Zone)
	}
	return size
}
