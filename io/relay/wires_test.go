package relay_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/update"
	"redwingsill/io/relay"
)

// answerTime is after how long a silent host is given up, as io/updates does.
const answerTime = 400 * time.Millisecond

// wires carries questions between hosts.
type wires struct {
	mu     sync.Mutex
	names  map[netip.AddrPort]string
	relays map[string]*relay.Relay
	gone   map[string]bool
	silent map[string]bool
}

func newWires() *wires {
	return &wires{names: map[netip.AddrPort]string{}, relays: map[string]*relay.Relay{}, gone: map[string]bool{}, silent: map[string]bool{}}
}

func (w *wires) add(name string, at netip.AddrPort, r *relay.Relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names[at], w.relays[name] = name, r
}

// cut makes a host refuse connections.
func (w *wires) cut(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[name] = true
}

// silence makes a host answer nothing any more.
func (w *wires) silence(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[name] = true
}

func (w *wires) to(at netip.AddrPort) (*relay.Relay, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := w.names[at]
	if w.gone[name] {
		return nil, failure.New("ask", kind.Unknown, errors.New("refused"))
	}
	if w.silent[name] {
		return nil, nil
	}
	return w.relays[name], nil
}

// Entries implements relay.Peers.
func (w *wires) Entries(ctx context.Context, at netip.AddrPort, prefix string) (update.Update, error) {
	r, err := w.to(at)
	if err != nil || r == nil {
		return update.Update{}, silence(ctx, answerTime, err)
	}
	return r.Entries(ctx, prefix)
}

// Changes implements relay.Peers.
func (w *wires) Changes(ctx context.Context, at netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error) {
	r, err := w.to(at)
	if err != nil || r == nil {
		return update.Update{}, silence(ctx, wait+answerTime, err)
	}
	return r.Changes(ctx, prefix, after, wait)
}

// silence returns an error, one that was given at once and another after a time.
func silence(ctx context.Context, wait time.Duration, err error) error {
	if err != nil {
		return err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return failure.New("ask", kind.Unknown, errors.New("silent"))
}
