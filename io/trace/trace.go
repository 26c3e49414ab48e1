// Package trace records a span for each hop of a request.
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

// contextKey is the attribute under which a request carries its trace context.
const contextKey = "Traceparent"

// Tracer starts spans. Its methods may be called at the same time.
type Tracer struct {
	tracer trace.Tracer
	isOff  bool
}

// New returns a tracer that writes a line for each span to w, or one that does nothing where w is nil, and its
// clean-up.
func New(host string, w io.Writer) (*Tracer, func()) {
	if w == nil {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(""), isOff: true}, func() {}
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter{log: slog.New(slog.NewTextHandler(w, nil)).With("Host", host)}))
	return &Tracer{tracer: provider.Tracer("redwingsill")}, func() { _ = provider.Shutdown(context.Background()) }
}

// Hop starts the span of a hop. The request's attributes give the span before it, and the returned ones carry this
// span to the next hop. The span ends with the returned function, which takes the outcome's name.
func (t *Tracer) Hop(ctx context.Context, hop string, attributes map[string]string) (map[string]string, func(outcome string)) {
	if t.isOff {
		return attributes, func(string) {}
	}
	w3c := propagation.TraceContext{}
	ctx = w3c.Extract(ctx, propagation.MapCarrier{"traceparent": attributes[contextKey]})
	ctx, span := t.tracer.Start(ctx, hop)
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	next := make(map[string]string, len(attributes)+1)
	for name, value := range attributes {
		next[name] = value
	}
	next[contextKey] = carrier["traceparent"]
	return next, func(outcome string) {
		span.SetAttributes(attribute.String("Outcome", outcome))
		span.End()
	}
}
