package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
)

// slots gives every shard the same three holders for good.
type slots struct {
	self  string
	named []gage.ShareSlot
}

func (s slots) Slots(int) []gage.ShareSlot { return s.named }

func (s slots) HeldEpoch(_, slot int, _ time.Time) (uint64, bool) {
	return s.named[slot].Epoch, s.named[slot].Holder.VM == s.self
}

// claimers starts three holders on loopback and returns the claimer of an
// entry node and the addresses.
func claimers(t testing.TB) (*dedup.Claimer, *peer.Dedup, []gage.ShareSlot) {
	t.Helper()
	listeners := make([]net.Listener, gage.MaxSlotsPerShard)
	named := make([]gage.ShareSlot, gage.MaxSlotsPerShard)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
		named[i] = gage.ShareSlot{
			Slot: i, Epoch: 1, Holder: gage.Process{VM: fmt.Sprint("vm-", i)}, PeerAddress: listener.Addr().String(),
		}
	}
	for i, listener := range listeners {
		serve(t, listener, slots{self: fmt.Sprint("vm-", i), named: named})
	}
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	client := peer.NewDedup(pool)
	return dedup.NewClaimer(gage.Process{VM: "entry"}, slots{named: named}, client, nil), client, named
}

func serve(t testing.TB, listener net.Listener, shares slots) {
	pool := peer.NewPool()
	keeper := dedup.NewKeeper(dedup.KeeperOptions{
		Self: gage.Process{VM: shares.self}, Shares: shares, Peers: peer.NewDedup(pool),
		Clock: systemClock{}, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	server := grpc.NewServer()
	peer.RegisterDedup(server, keeper, systemClock{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		pool.Close()
	})
}

func lodging(n int, key string) gage.Call {
	return gage.Call{RequestID: fmt.Sprint("vm.", n), Attempt: 1, Workspace: "casa", Route: "lodge", IdempotencyKey: key}
}

func TestClaimsOverLoopback(t *testing.T) {
	claimer, client, named := claimers(t)
	ctx := context.Background()
	claim := claimer.Claim(ctx, time.Now(), lodging(1, "a"))
	assert.Equal(t, claim.Reason, gage.ReasonNone)
	assert.Equal(t, claim.Outcome, gage.OutcomeNotRun)

	answer := gage.Result{
		Outcome: gage.OutcomeRan, Status: 201, Target: "custody-1", VM: "vm-9", Body: []byte("certificate 7"),
		Header: []gage.Header{{Name: "Content-Type", Value: "text/plain"}},
	}
	claimer.Settle(ctx, time.Now(), lodging(1, "a"), claim, answer)
	assert.NilError(t, claimer.Drain(ctx))
	repeat := claimer.Claim(ctx, time.Now(), lodging(2, "a"))
	assert.Equal(t, repeat.Outcome, gage.OutcomeRan)
	assert.DeepEqual(t, repeat.Answer, answer)

	keys := 0
	for shard := range gage.ShardCount {
		page, err := client.Page(ctx, named[0].PeerAddress, dedup.PageRequest{Shard: shard, RequesterSlot: 1, RequesterEpoch: 1})
		assert.NilError(t, err)
		assert.Assert(t, page.IsLast && page.CoveredSince.IsZero())
		keys += len(page.Records)
	}
	assert.Equal(t, keys, 1)
}

func TestOneOfManyRacingCallsMayRun(t *testing.T) {
	claimer, _, _ := claimers(t)
	var granted atomic.Int32
	var calls sync.WaitGroup
	for i := range 32 {
		calls.Go(func() {
			claim := claimer.Claim(context.Background(), time.Now(), lodging(i, "a"))
			if claim.Outcome == gage.OutcomeNotRun && claim.Reason == gage.ReasonNone {
				granted.Add(1)
			}
		})
	}
	calls.Wait()
	assert.Equal(t, granted.Load(), int32(1))
}

func TestUnreachablePeerWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := peer.NewPool()
	defer pool.Close()
	_, err = peer.NewDedup(pool).Claim(context.Background(), address, dedup.ClaimRequest{})
	assert.Assert(t, errors.Is(err, dedup.ErrNotSent), "%v", err)
}

func BenchmarkClaimOverLoopback(b *testing.B) {
	claimer, _, _ := claimers(b)
	ctx := context.Background()
	b.ReportAllocs()
	for i := range b.N {
		claim := claimer.Claim(ctx, time.Now(), lodging(i, fmt.Sprint(i)))
		if claim.Reason != gage.ReasonNone {
			b.Fatal(claim.Reason)
		}
	}
}
