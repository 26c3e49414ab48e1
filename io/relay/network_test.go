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

// responseTimeout is how long after the end of its wait a request to a host that does not respond fails. It stands for
// responseMargin in io/updates, which is shorter.
const responseTimeout = 400 * time.Millisecond

// network connects the relays of hosts. It implements relay.Peers.
type network struct {
	mu           sync.Mutex
	names        map[netip.AddrPort]string
	relays       map[string]*relay.Relay
	disconnected map[string]bool
	muted        map[string]bool
}

func newNetwork() *network {
	return &network{names: map[netip.AddrPort]string{}, relays: map[string]*relay.Relay{}, disconnected: map[string]bool{}, muted: map[string]bool{}}
}

func (n *network) add(name string, address netip.AddrPort, r *relay.Relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address], n.relays[name] = name, r
}

// disconnect makes a host refuse connections.
func (n *network) disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[name] = true
}

// mute makes a host accept requests but never respond.
func (n *network) mute(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted[name] = true
}

// relayAt returns the relay of a host, nil if the host is muted, or an error if it is disconnected.
func (n *network) relayAt(address netip.AddrPort) (*relay.Relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := n.names[address]
	if n.disconnected[name] {
		return nil, failure.New("ask", kind.Unknown, errors.New("refused"))
	}
	if n.muted[name] {
		return nil, nil
	}
	return n.relays[name], nil
}

// Entries implements relay.Peers.
func (n *network) Entries(ctx context.Context, address netip.AddrPort, prefix string) (update.Update, error) {
	r, err := n.relayAt(address)
	if err != nil || r == nil {
		return update.Update{}, unreachable(ctx, responseTimeout, err)
	}
	return r.Entries(ctx, prefix)
}

// Changes implements relay.Peers.
func (n *network) Changes(ctx context.Context, address netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error) {
	r, err := n.relayAt(address)
	if err != nil || r == nil {
		return update.Update{}, unreachable(ctx, wait+responseTimeout, err)
	}
	return r.Changes(ctx, prefix, after, wait)
}

// unreachable returns err at once if it is not nil. Otherwise it returns an error after a wait, like a request that
// times out.
func unreachable(ctx context.Context, wait time.Duration, err error) error {
	if err != nil {
		return err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return failure.New("ask", kind.Unknown, errors.New("muted"))
}
