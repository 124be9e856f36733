package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// platform is a store, the documents and the membership of one small fleet.
type platform struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]gage.Entry
	members  []gage.Member
	watchers []func(gage.Document)
}

func (p *platform) Get(_ context.Context, key string) (gage.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[key], nil
}

func (p *platform) List(_ context.Context, prefix string) ([]gage.Entry, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []gage.Entry
	for key, entry := range p.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, p.revision, nil
}

func (p *platform) Swap(_ context.Context, key string, revision int64, value []byte, _ gage.LeaseID) (gage.Entry, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key].Revision != revision {
		return p.entries[key], false, nil
	}
	p.revision++
	p.entries[key] = gage.Entry{Key: key, Value: value, Revision: p.revision}
	return p.entries[key], true, nil
}

func (p *platform) Grant(context.Context, time.Duration) (gage.LeaseID, error) { return 1, nil }
func (p *platform) KeepAlive(context.Context, gage.LeaseID) (bool, error)      { return true, nil }
func (p *platform) Revoke(context.Context, gage.LeaseID) error                 { return nil }
func (p *platform) Latest(string) (gage.Document, bool)                        { return gage.Document{}, false }

func (p *platform) ConfirmedAt() time.Time { return time.Time{} }

func (p *platform) Self() gage.Member                                            { return gage.Member{} }
func (p *platform) SetTargets([]gage.TargetRecord)                               {}
func (p *platform) SetGeneration(int64)                                          {}
func (p *platform) Watch(context.Context, string, int64, func(gage.Entry)) error { return nil }

func (p *platform) Members() []gage.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]gage.Member{}, p.members...)
}

func (p *platform) Subscribe(_ string, changed func(gage.Document)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers = append(p.watchers, changed)
}

func (p *platform) Offer(d gage.Document) {
	p.mu.Lock()
	watchers := append([]func(gage.Document){}, p.watchers...)
	p.mu.Unlock()
	for _, changed := range watchers {
		go changed(d)
	}
}

type quotaNode struct {
	agent   *share.Agent
	limiter *quota.Limiter
	stop    func()
}

func startQuotaNode(t *testing.T, p *platform, self gage.Member, listener net.Listener) *quotaNode {
	ctx, cancel := context.WithCancel(context.Background())
	pool := peer.NewPool()
	client := peer.NewQuotaClient(pool)
	set := metrics.NewSet()
	agent := share.New(share.Options{
		Self: self, Store: p, Documents: p, Membership: p, Peers: client, Clock: systemClock{},
		Random: rand.New(rand.NewPCG(1, 1)), Logger: zap.NewNop(), Metrics: set,
	})
	limiter := quota.New(quota.Options{
		Self: self, Shares: agent, Peers: client, Clock: systemClock{}, Logger: zap.NewNop(), Metrics: set,
	})
	server := grpc.NewServer()
	peer.RegisterQuota(server, limiter, agent)
	var work sync.WaitGroup
	work.Go(func() { agent.Run(ctx) })
	work.Go(func() { limiter.Run(ctx) })
	work.Go(func() { _ = server.Serve(listener) })
	var once sync.Once
	n := &quotaNode{agent: agent, limiter: limiter, stop: func() {
		once.Do(func() {
			server.Stop()
			cancel()
			work.Wait()
			pool.Close()
		})
	}}
	t.Cleanup(n.stop)
	return n
}

func granted(n *quotaNode, workspace string) bool {
	for range 1000 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		g := n.limiter.Take(ctx, time.Now(), workspace)
		cancel()
		if g.OK {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestQuotaOverGRPC(t *testing.T) {
	p := &platform{entries: make(map[string]gage.Entry)}
	var listeners []net.Listener
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, listener)
		p.members = append(p.members, gage.Member{
			VM: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("zone%d", i), StartedAt: 1,
			Phase: gage.MemberAlive, PeerAddress: listener.Addr().String(),
		})
	}
	config := &gage.Config{Generation: 1, Workspaces: []gage.Workspace{
		{Name: "large", Rate: 100, Burst: 200}, {Name: "small", Rate: 10, Burst: 3},
	}}
	var nodes []*quotaNode
	for i, listener := range listeners {
		n := startQuotaNode(t, p, p.Members()[i], listener)
		n.limiter.Adopt(config)
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		assert.Assert(t, granted(n, "large"), "node %d", i)
		assert.Assert(t, granted(n, "small"), "node %d", i)
	}
	g := nodes[0].limiter.Take(context.Background(), time.Now(), "unknown")
	assert.Equal(t, g.Reason, gage.ReasonUnknownKey)

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, nodes[2].agent.Stop(ctx))
	entries, _, err := p.List(ctx, gage.StoreSharePrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), gage.ShardCount)
	for _, entry := range entries {
		record, err := share.Decode(entry.Value)
		assert.NilError(t, err)
		for slot, s := range record.Slots {
			assert.Assert(t, s.Holder.VM != "vm2", "%s slot %d", entry.Key, slot)
		}
	}
	nodes[2].stop()
	for _, n := range nodes[:2] {
		assert.Assert(t, granted(n, "large"))
		assert.Assert(t, granted(n, "small"))
	}
}
