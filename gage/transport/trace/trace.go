// Package trace starts a span for each hop of a request and propagates the W3C trace
// context between hops.
package trace

import (
	"context"
	"fmt"

	zerotrace "github.com/zeromicro/go-zero/core/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	tracerName = "greengagewind"
	// traceParentKey is the key of the W3C trace context in a carrier.
	traceParentKey = "traceparent"
)

// Exporter is a destination of spans.
type Exporter string

// The exporters: no export, a local file, and an OTLP collector over HTTP.
const (
	ExporterNone     Exporter = "none"
	ExporterFile     Exporter = "file"
	ExporterOTLPHTTP Exporter = "otlphttp"
)

// Settings configures the export of spans.
type Settings struct {
	Exporter Exporter
	// Endpoint is the host:port of the collector for ExporterOTLPHTTP, and the path of
	// the file for ExporterFile.
	Endpoint string
	// Sample is the fraction of new traces that are recorded, from 0 to 1.
	Sample float64
}

// Start sets up tracing for the whole process. name is the service name in its spans.
// The returned function ends the export of spans.
func Start(name string, s Settings) (stop func()) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if s.Exporter == ExporterNone || s.Exporter == "" {
		return func() {}
	}
	zerotrace.StartAgent(zerotrace.Config{
		Name:     name,
		Endpoint: s.Endpoint,
		Sampler:  s.Sample,
		Batcher:  string(s.Exporter),
	})
	return zerotrace.StopAgent
}

// Hop starts a span with the name hop and returns a context that carries it. Parent
// is the W3C trace context that the previous hop sent, or "" to use the one in ctx.
func Hop(ctx context.Context, hop, parent string) (context.Context, Span) {
	if parent != "" {
		carrier := propagation.MapCarrier{traceParentKey: parent}
		ctx = otel.GetTextMapPropagator().Extract(ctx, carrier)
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, hop)
	return ctx, Span{span: span}
}

// Parent returns the W3C trace context to send to the next hop, or "" if ctx has no
// valid span.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// Span is the span of one hop of a request.
type Span struct {
	span oteltrace.Span
}

// End records the request ID and the result of the request in the span and ends it.
func (s Span) End(requestID string, r gage.Result) {
	s.span.SetAttributes(
		attribute.String("RequestID", requestID),
		attribute.String("Outcome", string(r.Outcome)),
		attribute.String("Reason", string(r.Reason)),
		attribute.String("Target", r.Target),
		attribute.String("Status", fmt.Sprint(r.Status)),
	)
	s.span.End()
}
