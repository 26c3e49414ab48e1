package ownership_test

import (
	"time"

	"redwingsill/core/electorate"
	"redwingsill/core/era"
	"redwingsill/core/ownership"
	"redwingsill/core/reachability"
)

// coordinator is a host that was elected, in its last term.
type coordinator struct {
	state ownership.Ownership
	term  int
	// revision is the revision of the store after the coordinator's last write, or at its election.
	revision int64
	// era is the newest era of the store that the coordinator knows, and writtenIn that of its map.
	era, writtenIn era.Era
	isAlive        bool
	// isCutOffFromStore is set once the coordinator can't reach the store. It may still reach servers.
	isCutOffFromStore bool
	// frozenUntil is the time until which the coordinator is stopped. answers are the results that arrived meanwhile.
	frozenUntil time.Time
	answers     []func()
	// isBlindUntil is the time until which the coordinator doesn't see changes of discovery's list.
	isBlindUntil time.Time
	// host is the index of the coordinator's host, and leaseEnd the end of its lease as it knows it. reports has the last
	// record that each host sent. isReachableSinceKnown is set once the coordinator knows since when the store has been
	// reachable.
	host                  int
	leaseEnd              time.Time
	reports               map[string]reachability.Reachability
	isReachableSinceKnown bool
	// electorate has the sets of hosts that the coordinator and earlier ones count on. electorateWrite is the value that is
	// being written, or nil.
	electorate          electorate.Electorate
	hasReadElectorate   bool
	electedAt           time.Time
	electorateWrite     [][]string
	electorateWrittenAt time.Time
}

func (c *coordinator) isFrozen(now time.Time) bool { return now.Before(c.frozenUntil) }

// takeAnswers applies the results that arrived while the coordinator was frozen.
func (c *coordinator) takeAnswers() {
	for _, apply := range c.answers {
		apply()
	}
	c.answers = nil
}
