package logging

import (
	"context"
	"log/slog"
)

// bounded is a handler that leaves out lines beyond the bound of their kind.
type bounded struct {
	slog.Handler
	kinds *kinds
}

// Handle implements slog.Handler.
func (b bounded) Handle(ctx context.Context, r slog.Record) error {
	if !b.kinds.of(r.Message).admit(b.kinds.now()) {
		return nil
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return bounded{Handler: b.Handler.WithAttrs(attrs), kinds: b.kinds}
}

// WithGroup implements slog.Handler.
func (b bounded) WithGroup(name string) slog.Handler {
	return bounded{Handler: b.Handler.WithGroup(name), kinds: b.kinds}
}
