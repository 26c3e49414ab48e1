package ownership_test

import (
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
)

// sampleKeys are the keys whose holders the model tracks.
var sampleKeys = []int{0, 5, 6, 7, 20000, 40000, 40001, 50000, 65535}

// server models a backend server. A grant's hold time runs from the arrival of the call, also if the grant takes effect
// later, on a clock that is 2% slow. A token lower than one already seen is refused.
type server struct {
	instance instance.Instance
	isListed bool
	isAlive  bool
	// listedAt is when the server's entry last appeared. listedFrom is when an entry that comes late appears, and
	// listedUntil when that of an ended server goes.
	listedAt    time.Time
	listedFrom  time.Time
	listedUntil time.Time
	endedAt     time.Time
	// unreachableFromTerm is the term of the first coordinator that can't reach the server, or 0.
	unreachableFromTerm int
	// isPartitioned is set while no coordinator reaches the server.
	isPartitioned bool
	// highestFence is the highest token seen for each key.
	highestFence map[int]int64
	held         map[int]hold
	// taken has the tokens under which the server has taken the keys that it holds.
	taken map[int]int64
}

type hold struct {
	fence int64
	until time.Time
}

// isEntryListed reports whether discovery lists the server at now.
func (s *server) isEntryListed(now time.Time) bool {
	return s.isListed && !now.Before(s.listedFrom) || now.Before(s.listedUntil)
}

func (s *server) grant(g command.Grant, arrivedAt, effectiveAt time.Time) command.Result {
	if !s.isAlive {
		return command.Lost
	}
	for _, key := range sampleKeys {
		if g.Range.Contains(key) && s.highestFence[key] > g.Fence {
			return command.Stale
		}
	}
	until := arrivedAt.Add(time.Duration(float64(g.HoldTime) * 1.02))
	for _, key := range sampleKeys {
		if g.Range.Contains(key) {
			s.highestFence[key] = g.Fence
			if effectiveAt.Before(until) && (s.held[key].fence < g.Fence || s.held[key].until.Before(until)) {
				s.held[key] = hold{fence: g.Fence, until: until}
			}
		}
	}
	return command.Done
}

func (s *server) release(r command.Release) command.Result {
	if !s.isAlive {
		return command.Lost
	}
	for _, key := range sampleKeys {
		if r.Range.Contains(key) {
			delete(s.held, key)
		}
	}
	return command.Done
}
