package quota_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// soleHolder is a share table in which self holds every slot.
type soleHolder struct {
	self gage.Member
	// hasNoLease is true if self may serve none of its slots.
	hasNoLease bool
}

func (h soleHolder) Slots(shard int) []gage.ShareSlot {
	var slots []gage.ShareSlot
	holder := gage.Process{VM: h.self.VM, StartedAt: h.self.StartedAt}
	for slot := range gage.MaxSlotsPerShard {
		slots = append(slots, gage.ShareSlot{Shard: shard, Slot: slot, Epoch: 1, Holder: holder})
	}
	return slots
}

func (h soleHolder) HeldEpoch(int, int, time.Time) (uint64, bool) { return 1, !h.hasNoLease }

type noPeers struct{}

var errNoPeers = errors.New("no peers in this test")

func (noPeers) Take(context.Context, string, quota.TakeRequest) (quota.TakeReply, error) {
	return quota.TakeReply{}, errNoPeers
}

func (noPeers) Adopted(context.Context, string, quota.AdoptedRequest) (quota.AdoptedReply, error) {
	return quota.AdoptedReply{}, errNoPeers
}

// startLimiter returns a running Limiter without peers. stop ends the Limiter and
// waits until Run has returned.
func startLimiter(h soleHolder) (l *quota.Limiter, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l = quota.New(quota.Options{
		Self: h.self, Shares: h, Peers: noPeers{}, Clock: systemClock{},
		Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return l, func() {
		cancel()
		<-done
	}
}

func TestTakeRefusals(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, stop := startLimiter(soleHolder{self: gage.Member{VM: "vm", StartedAt: 1}, hasNoLease: true})
	defer stop()
	ctx := context.Background()
	assert.Equal(t, l.Take(ctx, time.Time{}, "workspace0").Reason, gage.ReasonNoConfig)
	l.Adopt(workspaces(1, 100, 100))
	assert.Equal(t, l.Take(ctx, time.Time{}, "other").Reason, gage.ReasonUnknownKey)
	grant := l.Take(ctx, time.Time{}, "workspace0")
	assert.Equal(t, grant.Reason, gage.ReasonQuotaUnavailable)
	assert.Assert(t, grant.RetryAfter > 0)
}

// BenchmarkTake takes tokens from a slot that the same process holds.
func BenchmarkTake(b *testing.B) {
	l, stop := startLimiter(soleHolder{self: gage.Member{VM: "vm", StartedAt: 1}})
	defer stop()
	l.Adopt(workspaces(1, 1e7, 1e7))
	time.Sleep(time.Second)
	refused := 0
	b.ReportAllocs()
	for b.Loop() {
		if !l.Take(context.Background(), time.Time{}, "workspace0").OK {
			refused++
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}
