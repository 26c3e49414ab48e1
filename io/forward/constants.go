package forward

import "time"

const (
	// minRetryTime is the time before the deadline below which a request is not retried: the retry would take a slot but
	// hardly end in time.
	minRetryTime = 30 * time.Millisecond
	// maxRounds bounds how often one request asks for a slot. It allows for a few moves of the request's key.
	maxRounds = 8
	// minBackOff is the base of the exponential back-off before a request asks again for a slot, after its backend server
	// had left or did not own the key. maxBackOff bounds the back-off; it is about the duration of a move.
	minBackOff = 15 * time.Millisecond
	maxBackOff = 300 * time.Millisecond
	// failureRetryAfter is sent to callers as Retry-After if a request got a slot but was not run. It is short, since
	// other requests would not fail in this way.
	failureRetryAfter = 100 * time.Millisecond
	// budgetRatioShare is the share of the retry ratio that a host uses. Hosts count requests in slices of a tenth of the
	// window, so a count can cover up to 1.1 windows.
	budgetRatioShare = 0.88
	// defaultMaxConnections bounds the connections of all hosts together to a backend server if its service configures no
	// limit.
	defaultMaxConnections = 100
	// minConnections is the number of connections that a host may open to any backend server, even if its share of the
	// service's limit is smaller.
	minConnections = 4
)
