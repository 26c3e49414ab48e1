// Package trace records an OpenTelemetry span for each hop of a request: its handling by the entry host that received
// it from the caller, its handling by the entry host that it was forwarded to, and the call to the backend server.
package trace

import (
	"context"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// traceparentAttribute is the request attribute that holds the parent span in the format of the W3C traceparent header.
const traceparentAttribute = "Traceparent"

// Tracer starts the spans of requests. It is safe for concurrent use.
type Tracer struct {
	tracer     trace.Tracer
	isDisabled bool
}

// New returns a tracer that writes each span to w as a line with the host's name, and a function that flushes and stops
// it. If w is nil, the tracer records nothing.
func New(host string, w io.Writer) (*Tracer, func()) {
	if w == nil {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(""), isDisabled: true}, func() {}
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter{log: slog.New(slog.NewTextHandler(w, nil)).With("Host", host)}))
	return &Tracer{tracer: provider.Tracer("redwingsill")}, func() { _ = provider.Shutdown(context.Background()) }
}

// StartHop starts the span of a hop. The attributes are those of the request, not of the span. The parent is the span
// that the attributes name, or else the span in ctx; if there is neither, the new span is a root span. StartHop returns
// the attributes for the next hop, with the new span as the parent, and a function that records the outcome in the span
// and ends it.
func (t *Tracer) StartHop(ctx context.Context, hop string, attributes map[string]string) (map[string]string, func(outcome string)) {
	if t.isDisabled {
		return attributes, func(string) {}
	}
	propagator := propagation.TraceContext{}
	ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": attributes[traceparentAttribute]})
	ctx, span := t.tracer.Start(ctx, hop)
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	next := make(map[string]string, len(attributes)+1)
	for name, value := range attributes {
		next[name] = value
	}
	next[traceparentAttribute] = carrier["traceparent"]
	return next, func(outcome string) {
		span.SetAttributes(attribute.String("Outcome", outcome))
		span.End()
	}
}
