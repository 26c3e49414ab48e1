package coordination

import "time"

const (
	// tick is the time between two looks at what time alone brings on: a fraction of any hold.
	tick = 60 * time.Millisecond
	// stepPause is the least time between two looks: a part of the way to a backend server and back. Results that come
	// meanwhile are taken together.
	stepPause = 3 * time.Millisecond
	// idleTick is the same at a host that is not the coordinator.
	idleTick = 250 * time.Millisecond
	// keeps is how often a lease is renewed within its length.
	keeps = 3
	// turn is how long each host waits after the one before it to try to become the coordinator: a few of the store's
	// answers. From place closeTurns on it is farTurn: so many hosts are rarely gone at once, and the last of a hundred
	// should not wait for long.
	turn       = 60 * time.Millisecond
	closeTurns = 15
	farTurn    = 10 * time.Millisecond
	// checkers is how many hosts look after a coordinator that does not answer, every checkPause.
	checkers   = 3
	checkPause = 500 * time.Millisecond
	// campaignPause is the time after a try that failed.
	campaignPause = 250 * time.Millisecond
	// contactsEvery is the time between two questions to all hosts for their contact with the store.
	contactsEvery = 200 * time.Millisecond
	// savePause is the time between two tries to write.
	savePause = 150 * time.Millisecond
	// resignPause is the time between two tries to give the lease up.
	resignPause = 600 * time.Millisecond
	// resignTimeout bounds the call that gives the lease up.
	resignTimeout = 500 * time.Millisecond
	// resultBuffer holds the results of calls that end at the same time.
	resultBuffer = 64
	// leastFactor and mostFactor bound how a server's pace counts for its part of the keys, so that one odd time moves
	// little.
	leastFactor = 0.5
	mostFactor  = 4
)
