package trace_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/edge"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
	"github.com/greengagewind/greengagewind/gage/transport/trace"
)

const traceID = "0af7651916cd43dd8448eb211c80319c"

// fixedDecisions is a fake of the components whose decisions this test does not
// check. It considers each configuration fresh, admits every call, and routes every
// call to the same target.
type fixedDecisions struct {
	peerAddress string
	address     string
}

func (fixedDecisions) Fresh(time.Time) bool { return true }

func (f fixedDecisions) Pick(time.Time, gage.Call, []string) gage.Choice {
	return gage.Choice{OK: true, Target: "t", VM: "b1", PeerAddress: f.peerAddress}
}

func (fixedDecisions) Observe(time.Time, gage.Choice, gage.Result, time.Duration) {}

func (fixedDecisions) Admit(context.Context, string, gage.Call) (gage.Admission, gage.Result) {
	return gage.Admission{Target: "t", AdmittedAt: time.Now(), Release: func(time.Time, time.Duration, bool) {}}, gage.Result{}
}

func (fixedDecisions) Load(string) gage.Load { return gage.Load{} }

func (f fixedDecisions) Address(string) (string, gage.TargetPhase, bool) {
	return f.address, gage.TargetServing, true
}

func newViews() *entry.Views {
	v := &entry.Views{}
	v.Set(entry.NewView(gage.Config{Routes: []gage.Route{
		{Name: "open", PathPrefix: "/", Service: "s", Open: true, Idempotent: true, Deadline: time.Minute},
	}}))
	return v
}

// A request whose target makes one nested call has a span for each hop. All spans
// belong to the trace that the caller started.
func TestSpansOfANestedRequest(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	otel.SetTracerProvider(provider)
	defer trace.Start("test", trace.Settings{})()

	var nestedURL string
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/outer" {
			nested, err := http.NewRequestWithContext(r.Context(), http.MethodGet, nestedURL+"/inner", nil)
			assert.NilError(t, err)
			nested.Header.Set(header.Context, r.Header.Get(header.Context))
			nested.Header.Set(header.TraceParent, r.Header.Get(header.TraceParent))
			response, err := http.DefaultClient.Do(nested)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
		}
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	}))
	defer target.Close()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	fake := fixedDecisions{peerAddress: listener.Addr().String(), address: strings.TrimPrefix(target.URL, "http://")}
	ring := recent.New(64)
	activeCalls := host.NewActiveCalls()
	h := host.New(host.Options{VM: "b1", Admitter: fake, Sender: relay.New(clock.System{}), AddressBook: fake, ActiveCalls: activeCalls, Recent: ring, Clock: clock.System{}})
	server := grpc.NewServer()
	peer.RegisterForward(server, h, clock.System{}, "b1@1")
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	pool := peer.NewPool()
	defer pool.Close()
	e := entry.New(entry.Options{
		VM: "a1", Views: newViews(), Freshness: fake, Router: fake,
		Forwarder: peer.NewForwarder(pool, h, clock.System{}), RetryRatio: retry.NewTokenBucket(), ActiveCalls: activeCalls,
		Recent: ring, Clock: clock.System{}, NewID: func() string { return "a1.x" },
		Random: func() uint64 { return 0 }, Sleep: func(context.Context, time.Duration) {},
	})
	nested := httptest.NewServer(edge.Targets(e, nil, clock.System{}, func() string { return "x" }))
	defer nested.Close()
	nestedURL = nested.URL

	request := httptest.NewRequest(http.MethodGet, "/outer", nil)
	request.Header.Set(header.TraceParent, "00-"+traceID+"-b7ad6b7169203331-01")
	w := httptest.NewRecorder()
	edge.Callers(e, func() string { return "x" }).ServeHTTP(w, request)
	assert.Equal(t, w.Code, http.StatusOK)

	names := make(map[string]int)
	for _, span := range spans.GetSpans() {
		assert.Equal(t, span.SpanContext.TraceID().String(), traceID, span.Name)
		if span.Name != "Entry" && span.Name != "Nested" && span.Name != "Host" {
			span.Name = "Target"
		}
		names[span.Name]++
	}
	assert.DeepEqual(t, names, map[string]int{"Entry": 1, "Host": 2, "Target": 2, "Nested": 1})
}
