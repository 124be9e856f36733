package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/admit"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/edge"
	"github.com/greengagewind/greengagewind/gage/transport/logkv"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
)

const (
	maxLatencyMicros  = 10_000_000
	significantDigits = 3
)

// fixedRoute replaces the freshness check, the router and the address book. It sends
// every call to the same target.
type fixedRoute struct {
	choice  gage.Choice
	address string
}

func (fixedRoute) Fresh(time.Time) bool { return true }

func (r fixedRoute) Pick(time.Time, gage.Call, []string) gage.Choice { return r.choice }

func (fixedRoute) Observe(time.Time, gage.Choice, gage.Result, time.Duration) {}

func (r fixedRoute) Address(string) (string, gage.TargetPhase, bool) {
	return r.address, gage.TargetServing, true
}

// startNodes starts every component between a caller and target except the quota.
// It starts one node, or two nodes if isRemote is true, and returns the URL for
// callers.
func startNodes(b *testing.B, target string, isRemote bool) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	route := fixedRoute{
		choice:  gage.Choice{OK: true, Target: "t", VM: "b1", PeerAddress: listener.Addr().String(), Local: !isRemote},
		address: strings.TrimPrefix(target, "http://"),
	}
	admitter := admit.New(admit.Options{Clock: clock.System{}})
	b.Cleanup(admitter.Close)
	now := time.Now()
	record := gage.TargetRecord{Name: "t", Service: "s", Phase: gage.TargetServing, Incarnation: 1, CapacityHint: 64}
	assert.NilError(b, admitter.SetTarget(now, record, gage.Service{Name: "s", ColdConcurrency: 8}))
	ring := recent.New(1024)
	activeCalls := host.NewActiveCalls()
	hostRunner := host.New(host.Options{VM: "b1", Admitter: admitter, Sender: relay.New(clock.System{}), AddressBook: route, ActiveCalls: activeCalls, Recent: ring, Clock: clock.System{}})
	server := grpc.NewServer()
	peer.RegisterForward(server, hostRunner, clock.System{}, "b1@1")
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	pool := peer.NewPool()
	b.Cleanup(pool.Close)
	views := &entry.Views{}
	views.Set(entry.NewView(gage.Config{Routes: []gage.Route{
		{Name: "open", PathPrefix: "/", Service: "s", Importance: gage.ImportanceNormal, Open: true, Idempotent: true, Deadline: time.Minute},
	}}))
	e := entry.New(entry.Options{
		VM: "a1", Views: views, Freshness: route, Router: route, Forwarder: peer.NewForwarder(pool, hostRunner, clock.System{}),
		RetryRatio: retry.NewTokenBucket(), ActiveCalls: activeCalls, Recent: ring, Clock: clock.System{},
		NewID: newID, Random: func() uint64 { return 0 }, Sleep: func(context.Context, time.Duration) {},
	})
	callers := httptest.NewServer(edge.Callers(e, newID))
	b.Cleanup(callers.Close)
	return callers.URL
}

func benchmarkPath(b *testing.B, start func(b *testing.B, target string) string) {
	logkv.SilenceLibraries()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	}))
	defer target.Close()
	url := start(b, target.URL)
	latencies := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	b.ReportAllocs()
	for b.Loop() {
		sentAt := time.Now()
		answer, err := http.Get(url + "/x")
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(b, err)
		assert.NilError(b, answer.Body.Close())
		assert.Equal(b, answer.StatusCode, http.StatusOK)
		assert.NilError(b, latencies.RecordValue(time.Since(sentAt).Microseconds()))
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
}

func BenchmarkDirect(b *testing.B) {
	benchmarkPath(b, func(_ *testing.B, target string) string { return target })
}

func BenchmarkThroughOneNode(b *testing.B) {
	benchmarkPath(b, func(b *testing.B, target string) string { return startNodes(b, target, false) })
}

func BenchmarkThroughTwoNodes(b *testing.B) {
	benchmarkPath(b, func(b *testing.B, target string) string { return startNodes(b, target, true) })
}
