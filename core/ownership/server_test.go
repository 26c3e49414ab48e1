package ownership_test

import (
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
)

// sampleKeys are the keys that the model looks at.
var sampleKeys = []int{0, 5, 6, 7, 20000, 40000, 40001, 50000, 65535}

// server is a backend server that holds keys as the platform's do: a grant's time runs from its arrival by a clock that
// is 2% slow, also when it takes effect later, and a lower token than one that was seen is refused.
type server struct {
	instance instance.Instance
	isListed bool
	isAlive  bool
	// hiddenFrom is the first coordinator that can't reach it, or 0.
	hiddenFrom int
	isCut      bool
	seen       map[int]int64
	held       map[int]hold
}

type hold struct {
	fence int64
	until time.Time
}

func (s *server) grant(g command.Grant, arrived, now time.Time) command.Result {
	if !s.isAlive {
		return command.Lost
	}
	for _, key := range sampleKeys {
		if g.Range.Contains(key) && s.seen[key] > g.Fence {
			return command.Stale
		}
	}
	until := arrived.Add(time.Duration(float64(g.Hold) * 1.02))
	for _, key := range sampleKeys {
		if g.Range.Contains(key) {
			s.seen[key] = g.Fence
			if now.Before(until) && (s.held[key].fence < g.Fence || s.held[key].until.Before(until)) {
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
