package slotclient

import "time"

const (
	// resendDelay is the time after which a request without a response is first sent again: a few times the latency
	// between data centres of a region.
	resendDelay = 60 * time.Millisecond
	// maxResendDelay bounds the growing time between further retransmissions, so that they add little load to a busy host.
	maxResendDelay = 120 * time.Millisecond
	// responseTimeout is the silence after which a host counts as unresponsive. It is longer than the pause of a process
	// whose processor quota is used up.
	responseTimeout = 260 * time.Millisecond
	// queuedResendDelay is the time after which a queued request is sent again, to find out whether the other host still
	// has it. It doubles up to maxQueuedResendDelay, so that thousands of queued requests don't keep that host busy.
	queuedResendDelay    = 400 * time.Millisecond
	maxQueuedResendDelay = 1600 * time.Millisecond
	// pingDelay is how long a host has been unresponsive before it is pinged, from then on at each tick.
	pingDelay = 300 * time.Millisecond
	// fullShareDuration is how long after the last request of another host this host may give out all slots of a service.
	fullShareDuration = 2 * time.Second
	// minReclaimAge is the age from which a slot is freed if another host's list of slots in use lacks it. A younger slot
	// may have been given out while the list was on its way.
	minReclaimAge = time.Second
	// slotSourceTTL is the time for which another host is sent lists of the slots in use, even if they are empty, after it
	// gave out its last slot to this host.
	slotSourceTTL = 4 * time.Second
	// expiredRetryAfter is the RetryAfter of the refusal of a request whose context has ended.
	expiredRetryAfter = 50 * time.Millisecond
	// maxCandidates bounds the hosts that are asked before this host gives out a slot itself.
	maxCandidates = 2
	// responseBuffer is the capacity of the channel for the responses to one request: its retransmissions may get one
	// each.
	responseBuffer = 4
	// maxHeldTickets bounds the tickets in one list of slots in use. A longer list is not sent.
	maxHeldTickets = 100
)

// ReachabilityMaxAge is the age up to which another host's reachability record counts: a few of the intervals at which it
// is requested.
const ReachabilityMaxAge = 600 * time.Millisecond
