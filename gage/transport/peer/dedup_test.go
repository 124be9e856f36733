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

// fixedShares assigns the same slots, and thus the same holders, to every shard.
type fixedShares struct {
	// selfVM is the VM of the node that uses the fixedShares.
	selfVM string
	slots  []gage.ShareSlot
}

func (s fixedShares) Slots(int) []gage.ShareSlot { return s.slots }

func (s fixedShares) HeldEpoch(_, slot int, _ time.Time) (uint64, bool) {
	return s.slots[slot].Epoch, s.slots[slot].Holder.VM == s.selfVM
}

// startHolders starts the holder of each slot on loopback. It returns the claimer
// of an entry node, a client, and the slots with the holders' addresses.
func startHolders(t testing.TB) (*dedup.Claimer, *peer.DedupClient, []gage.ShareSlot) {
	t.Helper()
	listeners := make([]net.Listener, gage.MaxSlotsPerShard)
	shareSlots := make([]gage.ShareSlot, gage.MaxSlotsPerShard)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
		shareSlots[i] = gage.ShareSlot{
			Slot: i, Epoch: 1, Holder: gage.Process{VM: fmt.Sprint("vm-", i)}, PeerAddress: listener.Addr().String(),
		}
	}
	for i, listener := range listeners {
		serveDedup(t, listener, fixedShares{selfVM: fmt.Sprint("vm-", i), slots: shareSlots})
	}
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	client := peer.NewDedupClient(pool)
	return dedup.NewClaimer(gage.Process{VM: "entry"}, fixedShares{slots: shareSlots}, client, nil), client, shareSlots
}

func serveDedup(t testing.TB, listener net.Listener, shares fixedShares) {
	pool := peer.NewPool()
	keeper := dedup.NewKeeper(dedup.KeeperOptions{
		Self: gage.Process{VM: shares.selfVM}, Shares: shares, Peers: peer.NewDedupClient(pool),
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

func callWithKey(n int, key string) gage.Call {
	return gage.Call{RequestID: fmt.Sprint("vm.", n), Attempt: 1, Workspace: "casa", Route: "lodge", IdempotencyKey: key}
}

func TestRetryReturnsSettledAnswerOverGRPC(t *testing.T) {
	claimer, client, shareSlots := startHolders(t)
	ctx := context.Background()
	claim := claimer.Claim(ctx, time.Now(), callWithKey(1, "a"))
	assert.Equal(t, claim.Reason, gage.ReasonNone)
	assert.Equal(t, claim.Outcome, gage.OutcomeNotRun)

	answer := gage.Result{
		Outcome: gage.OutcomeRan, Status: 201, Target: "custody-1", VM: "vm-9", Body: []byte("certificate 7"),
		Header: []gage.Header{{Name: "Content-Type", Value: "text/plain"}},
	}
	claimer.Settle(ctx, time.Now(), callWithKey(1, "a"), claim, answer)
	assert.NilError(t, claimer.Drain(ctx))
	retry := claimer.Claim(ctx, time.Now(), callWithKey(2, "a"))
	assert.Equal(t, retry.Outcome, gage.OutcomeRan)
	assert.DeepEqual(t, retry.Answer, answer)

	recordCount := 0
	for shard := range gage.ShardCount {
		page, err := client.Page(ctx, shareSlots[0].PeerAddress, dedup.PageRequest{Shard: shard, RequesterSlot: 1, RequesterEpoch: 1})
		assert.NilError(t, err)
		assert.Assert(t, page.IsLast && page.CoveredSince.IsZero())
		recordCount += len(page.Records)
	}
	assert.Equal(t, recordCount, 1)
}

func TestOnlyOneOfConcurrentClaimsIsGranted(t *testing.T) {
	claimer, _, _ := startHolders(t)
	var grantedCount atomic.Int32
	var calls sync.WaitGroup
	for i := range 32 {
		calls.Go(func() {
			claim := claimer.Claim(context.Background(), time.Now(), callWithKey(i, "a"))
			if claim.Outcome == gage.OutcomeNotRun && claim.Reason == gage.ReasonNone {
				grantedCount.Add(1)
			}
		})
	}
	calls.Wait()
	assert.Equal(t, grantedCount.Load(), int32(1))
}

func TestClaimAtUnreachablePeerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := peer.NewPool()
	defer pool.Close()
	_, err = peer.NewDedupClient(pool).Claim(context.Background(), address, dedup.ClaimRequest{})
	assert.Assert(t, errors.Is(err, dedup.ErrNotSent), "%v", err)
}

func BenchmarkClaimOverLoopback(b *testing.B) {
	claimer, _, _ := startHolders(b)
	ctx := context.Background()
	b.ReportAllocs()
	for i := range b.N {
		claim := claimer.Claim(ctx, time.Now(), callWithKey(i, fmt.Sprint(i)))
		if claim.Reason != gage.ReasonNone {
			b.Fatal(claim.Reason)
		}
	}
}
