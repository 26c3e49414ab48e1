package logging

import (
	"context"
	"log/slog"
)

// rateLimitedHandler passes records on to the embedded handler, except those beyond the rate limit of their message.
type rateLimitedHandler struct {
	slog.Handler
	limiters *limiters
}

// Handle implements slog.Handler.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiters.forMessage(r.Message).allow(h.limiters.now()) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limiters: h.limiters}
}

// WithGroup implements slog.Handler.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiters: h.limiters}
}
