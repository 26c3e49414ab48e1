package forward

import "time"

const (
	// minRetryTime is the time that must be left to the deadline for a retry. With less, the retry would take a slot but
	// hardly end in time.
	minRetryTime = 30 * time.Millisecond
	// maxRounds bounds how often one request asks for a slot. It allows for a few moves of the request's key.
	maxRounds = 8
	// baseBackOff is the base of the exponential back-off before a request asks again for a slot because the chosen
	// backend server had left or did not own the key. The back-off is baseBackOff, doubled once for each round so far:
	// the first is 30 ms.
	baseBackOff = 15 * time.Millisecond
	// maxBackOff bounds the back-off. It is about the time that a key takes to move to another backend server.
	maxBackOff = 300 * time.Millisecond
	// maxBackOffDoublings is the number of doublings of baseBackOff from which maxBackOff applies.
	maxBackOffDoublings = 5
	// failureRetryAfter is sent to callers as Retry-After if a request got a slot but was not run. It is short, since a
	// new request is unlikely to fail in the same way.
	failureRetryAfter = 100 * time.Millisecond
	// budgetRatioShare is the share of the configured ratio of retries to requests that a host uses. Hosts count
	// requests in segments of a tenth of the window, so a count can cover up to 1.1 windows, and the share must be below
	// 1/1.1.
	budgetRatioShare = 0.88
	// defaultMaxConnections bounds the connections of all hosts together to a backend server if its service configures no
	// limit.
	defaultMaxConnections = 100
	// minConnections is the number of connections that a host may open to any backend server, even if its share of the
	// service's limit is smaller.
	minConnections = 4
)
