package spread_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/spread"
)

var errNoAnswer = errors.New("no answer")

// bubbleClock returns the virtual time of the synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// testFleet is an in-memory fleet: nodes that run spread.Spread, a fake store and a
// fake network, all in the virtual time of a synctest bubble.
type testFleet struct {
	store *fakeStore
	net   *fakeNetwork
	nodes []*testNode
	// members is not modified after newFleet.
	members []gage.Member

	mu         sync.Mutex
	violations []string
}

type testNode struct {
	fleet  *testFleet
	member gage.Member
	seed   uint64

	mu sync.Mutex
	// randStream is the stream of the random source. It differs for each process.
	randStream uint64
	spread     *spread.Spread
	stop       context.CancelFunc
	// thawed is nil unless the node is frozen. It is closed when the node is thawed.
	thawed chan struct{}
}

// addViolation records a violation of the checks. It keeps only the first five.
func (f *testFleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.violations) < 5 {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

// newFleet starts size nodes, evenly distributed over the zones. It must be called
// in a synctest bubble.
func newFleet(size, zones int, seed uint64) *testFleet {
	f := &testFleet{store: &fakeStore{}}
	f.net = &fakeNetwork{fleet: f, latency: 2 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
	f.store.net = f.net
	for i := range size {
		name := fmt.Sprintf("vm-%d", i)
		member := gage.Member{VM: name, Zone: fmt.Sprintf("zone-%d", i%zones), PeerAddress: name, Phase: gage.MemberAlive}
		f.members = append(f.members, member)
		f.nodes = append(f.nodes, &testNode{fleet: f, member: member, seed: seed, randStream: uint64(i)})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *testFleet) stop() {
	for _, n := range f.nodes {
		n.thaw()
		n.halt()
	}
	// Wait for delayed writes and duplicated messages.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// start starts a new process on the node's VM, without documents.
func (n *testNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.randStream += uint64(len(n.fleet.nodes))
	s := spread.New(spread.Options{
		Members: n, Store: &storeClient{fakeStore: n.fleet.store, node: n}, Peer: &peerClient{node: n}, Clock: bubbleClock{},
		Random: rand.New(rand.NewPCG(n.seed, n.randStream)), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	lastRevisions := make(map[string]int64)
	s.Subscribe(gage.StoreRoot, func(d gage.Document) {
		if d.Revision <= lastRevisions[d.Key] {
			n.fleet.addViolation("%s: after revision %d, a subscriber was called with revision %d of %s", n.member.VM, lastRevisions[d.Key], d.Revision, d.Key)
		}
		lastRevisions[d.Key] = d.Revision
		n.fleet.store.checkDocument(n.fleet, d)
	})
	n.mu.Lock()
	n.spread, n.stop = s, cancel
	n.mu.Unlock()
	go s.Run(ctx)
}

// halt ends the running process.
func (n *testNode) halt() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
}

// current returns the Spread of the running process.
func (n *testNode) current() *spread.Spread {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spread
}

// freeze suspends the node: its calls and its answers block until thaw.
func (n *testNode) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thawed == nil {
		n.thawed = make(chan struct{})
	}
}

func (n *testNode) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thawed != nil {
		close(n.thawed)
		n.thawed = nil
	}
}

// waitWhileFrozen blocks while the node is frozen.
func (n *testNode) waitWhileFrozen() {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// configRevision returns the configuration revision that the node holds.
func (n *testNode) configRevision() int64 {
	d, _ := n.current().Latest(gage.StoreConfigKey)
	return d.Revision
}

// Members, Self, SetTargets and SetGeneration implement gage.Membership.
func (n *testNode) Members() []gage.Member           { return n.fleet.members }
func (n *testNode) Self() gage.Member                { return n.member }
func (n *testNode) SetTargets(_ []gage.TargetRecord) {}
func (n *testNode) SetGeneration(_ int64)            {}

// countWithRevision returns how many nodes hold the configuration revision or a
// later one.
func (f *testFleet) countWithRevision(revision int64) (count int) {
	for _, n := range f.nodes {
		if n.configRevision() >= revision {
			count++
		}
	}
	return count
}

// waitUntil waits until done returns true, checking it every step, and returns how
// long that took. It reports false if done still returns false after limit.
func waitUntil(limit, step time.Duration, done func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		synctest.Wait()
		if done() {
			return time.Since(start), true
		}
		time.Sleep(step)
	}
	return limit, done()
}

// zoneAt returns the zone of the node at an address.
func (f *testFleet) zoneAt(address string) string {
	return f.nodeAt(address).member.Zone
}

// nodeAt returns the node at an address.
func (f *testFleet) nodeAt(address string) *testNode {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(address, "vm-"), "%d", &i)
	return f.nodes[i]
}
