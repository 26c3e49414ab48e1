package trace

import (
	"context"
	"log/slog"

	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// exporter logs each span as one line of key=value pairs.
type exporter struct {
	log *slog.Logger
}

// ExportSpans implements [sdk.SpanExporter].
func (e exporter) ExportSpans(ctx context.Context, spans []sdk.ReadOnlySpan) error {
	for _, s := range spans {
		values := []any{"Trace", s.SpanContext().TraceID().String(), "Span", s.SpanContext().SpanID().String(),
			"Parent", s.Parent().SpanID().String(), "Hop", s.Name(), "Start", s.StartTime(),
			"Took", s.EndTime().Sub(s.StartTime())}
		for _, a := range s.Attributes() {
			values = append(values, string(a.Key), a.Value.AsString())
		}
		e.log.InfoContext(ctx, "span", values...)
	}
	return nil
}

// Shutdown implements [sdk.SpanExporter]. There is nothing to release.
func (e exporter) Shutdown(context.Context) error { return nil }
