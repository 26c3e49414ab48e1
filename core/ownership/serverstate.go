package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
)

// serverState is what the coordinator knows about one incarnation of a backend server.
type serverState struct {
	instance instance.Instance
	// heldUntil is the latest expiry of the grants that were delivered or may have been; pending holds the expiry of
	// each grant call in flight, by its ID.
	heldUntil time.Time
	pending   map[int64]time.Time
	// lateUntil is the latest expiry of a grant whose call was lost and that may still take effect.
	lateUntil time.Time
	// hasEnded is set once another incarnation is known to have replaced this one, which then holds no keys any more.
	hasEnded bool
}

// lastExpiry returns the latest expiry of any grant that was delivered or may have been, or the zero time.
func (s serverState) lastExpiry() time.Time {
	end := s.heldUntil
	for _, until := range s.pending {
		end = latest(end, until)
	}
	return end
}

// withPending adds grant calls in flight whose grants expire at the given time.
func (s serverState) withPending(until time.Time, ids ...int64) serverState {
	next := make(map[int64]time.Time, len(s.pending)+len(ids))
	maps.Copy(next, s.pending)
	for _, id := range ids {
		next[id] = until
	}
	s.pending = next
	return s
}

// withCompletion removes a grant call that has ended. Unless its result is Unsent, the expiry of its grant counts
// towards heldUntil.
func (s serverState) withCompletion(c command.Completion) serverState {
	until, ok := s.pending[c.ID]
	if !ok {
		return s
	}
	s.pending = maps.Clone(s.pending)
	delete(s.pending, c.ID)
	if c.Result != command.Unsent {
		s.heldUntil = latest(s.heldUntil, until)
	}
	return s
}

// replacement returns a later incarnation with the same ID, or another incarnation with the same address, or "" if there
// is neither.
func (s serverState) replacement(members []instance.Instance, addresses map[string]string) string {
	if other, ok := addresses[s.instance.Address]; ok && other != s.instance.Incarnation() {
		return other
	}
	for _, m := range members {
		if m.ID == s.instance.ID && m.StartMillis > s.instance.StartMillis {
			return m.Incarnation()
		}
	}
	return ""
}
