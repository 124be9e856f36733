package spread_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
)

// fakeNetwork carries the messages among the nodes and between the nodes and the
// store.
type fakeNetwork struct {
	fleet   *testFleet
	latency time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// lossRate is the probability, from 0 to 1, that a request or an answer is lost.
	lossRate float64
	// duplicateRate is the probability, from 0 to 1, that an exchange request
	// arrives a second time.
	duplicateRate float64
	// isolated holds the names of the VMs and zones that exchange no messages with
	// others.
	isolated map[string]bool
	// messages and bytes count the messages sent between nodes and their size,
	// including lost ones.
	messages, bytes int64
}

// update changes the faults with mu held.
func (n *fakeNetwork) update(change func(*fakeNetwork)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// chance returns true with the given probability.
func (n *fakeNetwork) chance(rate float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < rate
}

// duplicates decides randomly whether a request arrives a second time.
func (n *fakeNetwork) duplicates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.duplicateRate
}

// deliver waits for the latency of a message and reports whether the message
// arrives. For a lost message it waits until ctx ends.
func (n *fakeNetwork) deliver(ctx context.Context, from, to string, size int) bool {
	n.mu.Lock()
	n.messages++
	n.bytes += int64(size)
	delay := n.latency/2 + time.Duration(n.random.Int64N(int64(n.latency)+1))
	lost := n.random.Float64() < n.lossRate || n.isPartitioned(from, to)
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	return sleep(ctx, delay)
}

// isPartitioned reports whether no messages pass between two addresses. The store
// is in no zone, so an isolated zone cannot reach it. The caller holds mu.
func (n *fakeNetwork) isPartitioned(from, to string) bool {
	if from == to {
		return false
	}
	if n.isolated[from] || n.isolated[to] {
		return true
	}
	fromZone, toZone := n.zone(from), n.zone(to)
	return fromZone != toZone && (n.isolated[fromZone] || n.isolated[toZone])
}

func (n *fakeNetwork) zone(address string) string {
	if address == storeAddress {
		return ""
	}
	return n.fleet.zoneAt(address)
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// peerClient is the spread.Peer of one node.
type peerClient struct {
	node *testNode
}

func (p *peerClient) Exchange(ctx context.Context, address string, d spread.Digest) (spread.Digest, error) {
	p.node.waitWhileFrozen()
	net, peer := p.node.fleet.net, p.node.fleet.nodeAt(address)
	if !net.deliver(ctx, p.node.member.PeerAddress, address, digestSize(d)) {
		return spread.Digest{}, errNoAnswer
	}
	if net.duplicates() {
		go func() {
			time.Sleep(10 * net.latency)
			peer.current().AnswerExchange(time.Now(), d)
		}()
	}
	// A frozen peer processes the request after it is thawed, when the request may
	// have timed out long ago.
	answers := make(chan spread.Digest, 1)
	go func() {
		peer.waitWhileFrozen()
		answers <- peer.current().AnswerExchange(time.Now(), d)
	}()
	var answer spread.Digest
	select {
	case answer = <-answers:
	case <-ctx.Done():
		return spread.Digest{}, errNoAnswer
	}
	if !net.deliver(ctx, address, p.node.member.PeerAddress, digestSize(answer)) {
		return spread.Digest{}, errNoAnswer
	}
	p.node.waitWhileFrozen()
	return answer, ctx.Err()
}

func (p *peerClient) Pull(ctx context.Context, address string, pull spread.PullRequest) (spread.PullReply, error) {
	p.node.waitWhileFrozen()
	net, peer := p.node.fleet.net, p.node.fleet.nodeAt(address)
	if !net.deliver(ctx, p.node.member.PeerAddress, address, len(pull.Key)+8) {
		return spread.PullReply{}, errNoAnswer
	}
	answers := make(chan spread.PullReply, 1)
	go func() {
		peer.waitWhileFrozen()
		answers <- peer.current().AnswerPull(pull)
	}()
	var answer spread.PullReply
	select {
	case answer = <-answers:
	case <-ctx.Done():
		return spread.PullReply{}, errNoAnswer
	}
	if !net.deliver(ctx, address, p.node.member.PeerAddress, len(answer.Key)+len(answer.Body)+24) {
		return spread.PullReply{}, errNoAnswer
	}
	p.node.waitWhileFrozen()
	return answer, ctx.Err()
}

// digestSize estimates the size of a digest as a protobuf message in bytes.
func digestSize(d spread.Digest) int {
	const fixedBytes, bytesPerHead, bytesPerZone = 12, 10, 16
	size := fixedBytes + len(d.From)
	for _, h := range d.Heads {
		size += bytesPerHead + len(h.Key)
	}
	for _, z := range d.Zones {
		size += bytesPerZone + len(z.Zone)
	}
	return size
}
