package coordination

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/directory"
	"redwingsill/core/era"
	"redwingsill/core/instance"
	"redwingsill/core/ownership"
	"redwingsill/core/ownershipevent"
	"redwingsill/core/pool"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/record"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
	"redwingsill/io/slotserver"
	"redwingsill/io/task"
)

var testTiming = ownership.Timing{LeaseDuration: 2500 * time.Millisecond, HoldTime: 4 * time.Second, UnreachableHoldTime: 10 * time.Second,
	UnreachableTTL: time.Second, OutageDetectionTime: 2200 * time.Millisecond, ClockSlack: 0.025, CallTimeout: time.Second,
	RenewInterval: 1100 * time.Millisecond, RetryDelay: 250 * time.Millisecond, UnreachableRenewGrace: 9 * time.Second,
	SettleTime: 500 * time.Millisecond, BalanceInterval: 400 * time.Millisecond, WaitingInterval: 50 * time.Millisecond, MaxMoves: 8}

var testServer = instance.Instance{ID: "server", StartMillis: 1, Service: "s", Address: "10.0.0.1:80", Slots: 2}

// testStart is the time of the clock of a new harness.
var testStart = time.Unix(1_000_000, 0)

// harness runs one host's coordination against a store and backend servers whose answers the test sets. The calls run in
// other goroutines and end before apply returns.
type harness struct {
	*Coordination
	clock *rcu.Value[time.Time]
	// owners is the record of each service's owners, and revokeErr the answer to the call that ends a lease.
	owners    *rcu.Value[record.Record]
	revokeErr error
	// storeEra is the era of the store.
	storeEra era.Era
	// onGrant answers a grant.
	onGrant func(command.Grant) command.Answer
}

func newHarness(t *testing.T) *harness {
	h := &harness{clock: rcu.New(testStart), owners: rcu.New(record.Record{}),
		onGrant: func(command.Grant) command.Answer { return command.Answer{Result: command.Done} }}
	log := slog.New(slog.DiscardHandler)
	now := h.clock.Load
	hosts := rcu.New(directory.Directory{}.With("edge-1", netip.MustParseAddrPort("127.0.0.1:1"), "a", 1))
	h.Coordination = New("edge-1", "1", testTiming, h, h, registry.New(hosts, func() {}, log), hosts, rcu.New(roster.New()),
		rcu.New(routing.Routing{}), slotserver.New(now), h, h, now, log, make(chan struct{}, 1))
	group, wait := task.New(t.Context())
	h.group = group
	t.Cleanup(wait)
	return h
}

// apply waits for the result of one call and applies it.
func (h *harness) apply() { (<-h.results)() }

func (h *harness) advance(d time.Duration) {
	h.clock.Update(func(t time.Time) time.Time { return t.Add(d) })
}

// tick returns the commands of a service at now, without those of earlier ticks.
func (h *harness) tick(service *shardedService) []command.Command {
	state, commands := service.state.WithTick(pool.New(true, 1), h.clock.Load())
	service.state = state
	return commands
}

func grantsIn(commands []command.Command) []command.Grant {
	var grants []command.Grant
	for _, c := range commands {
		if g, ok := c.(command.Grant); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// Get implements Store.
func (h *harness) Get(context.Context, string) (record.Record, error) { return h.owners.Load(), nil }

// Commit implements Store.
func (h *harness) Commit(context.Context, transaction.Transaction) (int64, error) { return 1, nil }

// CreateLease implements Store.
func (h *harness) CreateLease(context.Context, time.Duration) (int64, time.Duration, error) {
	return 1, testTiming.LeaseDuration, nil
}

// RenewLease implements Store.
func (h *harness) RenewLease(context.Context, int64) error { return nil }

// RevokeLease implements Store.
func (h *harness) RevokeLease(context.Context, int64) error { return h.revokeErr }

// Era implements Store.
func (h *harness) Era() era.Era { return h.storeEra }

// ObserveEra implements Store.
func (h *harness) ObserveEra(seen era.Era) { h.storeEra = max(h.storeEra, seen) }

// Grant implements Servers.
func (h *harness) Grant(_ context.Context, g command.Grant) command.Answer { return h.onGrant(g) }

// Release implements Servers.
func (h *harness) Release(context.Context, command.Release) command.Answer {
	return command.Answer{Result: command.Done}
}

// IsUnresponsive implements Peers.
func (h *harness) IsUnresponsive(string) bool { return false }

// RequestReachability implements Peers.
func (h *harness) RequestReachability(int64) {}

// Reachabilities implements Peers.
func (h *harness) Reachabilities() map[string]reachability.Reachability { return nil }

// CountFreedRange implements Metrics.
func (h *harness) CountFreedRange(string, ownershipevent.Reason) {}

// CountFencedRange implements Metrics.
func (h *harness) CountFencedRange(string, ownershipevent.LateGrant) {}
