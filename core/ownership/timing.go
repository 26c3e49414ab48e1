package ownership

import "time"

// Timing holds the coordinator's intervals, timeouts and limits.
type Timing struct {
	// LeaseDuration is the longest time for which a coordinator counts on its store lease after the last renewal. It is longer than
	// CallTimeout and the time between two renewals of the lease, since grants are only sent if they arrive before its end.
	LeaseDuration time.Duration
	// HoldTime is how long a backend server holds keys after a grant arrives.
	HoldTime time.Duration
	// UnreachableHoldTime replaces HoldTime while the store is known to be unreachable.
	UnreachableHoldTime time.Duration
	// UnreachableTTL is how long a finding that the store is unreachable stays valid.
	UnreachableTTL time.Duration
	// ReportAge is how old hosts' reports may be when a coordinator finds by them that the store is unreachable.
	ReportAge time.Duration
	// ClockSlack is the fraction by which a backend server's clock may run slow.
	ClockSlack float64
	// CallTimeout is the timeout of a call to a backend server. The call's message may still arrive until then.
	CallTimeout time.Duration
	// RenewInterval is the time between two renewals of a grant.
	RenewInterval time.Duration
	// RetryDelay is the time after which a failed call is retried.
	RetryDelay time.Duration
	// OutageDetectionTime is how long the coordinator keeps its state after the end of its store lease, without sending
	// commands, since it may find the store unreachable for at least two thirds of the hosts.
	OutageDetectionTime time.Duration
	// UnreachableRenewGrace is how long the coordinator still renews grants after the end of its store lease while the
	// store is known to be unreachable for at least two thirds of the hosts. Another coordinator is then unlikely to be
	// elected, and would wait until the grants have expired.
	UnreachableRenewGrace time.Duration
	// SettleTime is how long a new coordinator waits before it plans moves. While there is no map yet, each new backend
	// server starts the wait again, so that the first map includes servers that are still starting.
	SettleTime time.Duration
	// BalanceInterval is the time between two plans that balance the load, and WaitingInterval the time between two
	// that only reassign orphaned ranges and serve waiting requests. An orphaned range has no owner, or one that is
	// leaving or gone.
	BalanceInterval time.Duration
	WaitingInterval time.Duration
	// MoveCooldown is how long a moved range stays with its new owner, unless that owner leaves. It keeps keys from
	// moving back and forth.
	MoveCooldown time.Duration
	// MaxMoves bounds the ranges that move at the same time, unless there are hundreds of servers. Orphaned ranges may exceed it.
	MaxMoves int
}

// LongestInheritance returns the longest time after an election for which a grant of an earlier coordinator may be in force.
func (t Timing) LongestInheritance() time.Duration {
	return t.LeaseDuration + t.UnreachableRenewGrace + t.CallTimeout + t.LongestHold()
}

// LongestHold returns the longest time that a grant may be in force after it arrived, even if the server's clock runs
// slow.
func (t Timing) LongestHold() time.Duration {
	return t.onSlowClock(max(t.HoldTime, t.UnreachableHoldTime))
}

// onSlowClock returns the time that passes while the slowest clock allowed measures d.
func (t Timing) onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockSlack))
}
