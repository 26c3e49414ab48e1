package slotclient

import "time"

const (
	// firstWait is when an ask without an answer is sent again: some times the way between data centres of a region.
	firstWait = 60 * time.Millisecond
	// secondWait bounds the growing time between further repeats, so that a busy host does not get more to do.
	secondWait = 120 * time.Millisecond
	// patience is after how much silence a host counts as gone: more than the pause of a processor whose quota is used up.
	patience = 260 * time.Millisecond
	// queuedWait is after how long an ask that waits is repeated, to find out whether the other host still knows it.
	queuedWait = 400 * time.Millisecond
	// silentFor is how long a host that did not answer is left alone before it is tried with a ping.
	silentFor = 300 * time.Millisecond
	// mainFor is how long after another host's ask this host counts as the one that gives out the slots.
	mainFor = 2 * time.Second
	// heldSlack is how old a slot must be that a list of slots in use does not name to be free: it may have crossed it.
	heldSlack = time.Second
	// holderFor is how long after its last slot a pool is told that none is in use.
	holderFor = 4 * time.Second
	// leastRetry is what a refused caller waits at least.
	leastRetry = 50 * time.Millisecond
	// mostCandidates bounds the hosts that are asked before this host decides by itself.
	mostCandidates = 2
	// answerBuffer holds the answers to repeats of one ask.
	answerBuffer = 4
	// contactFresh is how old another host's word on its contact with the store may be: a few questions of its asker.
	contactFresh = 600 * time.Millisecond
	// mostHeld bounds the tickets in one list of slots in use.
	mostHeld = 100
)
