package forward

import "time"

const (
	// leastTime is the time left below which a repeat is not worth a slot.
	leastTime = 30 * time.Millisecond
	// mostRounds bounds how often one request asks for a slot: a few moves of its key.
	mostRounds = 8
	// ownerPause is the first pause before a request asks again whose key was not where it was thought to be; it doubles
	// up to ownerPauseMost, about the length of a move.
	ownerPause     = 15 * time.Millisecond
	ownerPauseMost = 300 * time.Millisecond
	// shortRetry is what callers are told whose request met a failure that others would not meet.
	shortRetry = 100 * time.Millisecond
	// ratioPart is how much of the common budget is used: hosts count in steps of a tenth of the window.
	ratioPart = 0.88
	// defaultConnections is the bound on connections to a server of a service that names none.
	defaultConnections = 100
	// leastConnections is what a host may open to any server.
	leastConnections = 4
)
