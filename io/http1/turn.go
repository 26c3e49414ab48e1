package http1

import "context"

// exchangeKey is the key of a request's exchange in its context.
type exchangeKey struct{}

// AwaitTurn waits until the requests before this one on its connection are answered, by the context that the handler got
// with it. It returns false if the connection ends before: the caller then takes the request for unread and may send it
// again. It returns true at once for a request of another server.
func AwaitTurn(ctx context.Context) bool {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	return !ok || e.awaitTurn(0)
}

// IsAhead reports whether a request was read while earlier ones of its connection were not answered.
func IsAhead(ctx context.Context) bool {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	return ok && e.isAhead
}
