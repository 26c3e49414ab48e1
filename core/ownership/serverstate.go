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
	// answeredAt is the address at which the incarnation last answered a command, and replacedAt the one at which another
	// backend server answered instead of it. Either is empty if there was none.
	answeredAt string
	replacedAt string
}

// hasEnded reports whether another backend server answers where this incarnation once did. It has then ended and holds
// no keys. What discovery lists proves no end: entries of earlier incarnations may come back, and those of live ones may
// expire.
func (s serverState) hasEnded() bool { return s.replacedAt != "" && s.replacedAt == s.answeredAt }

// isReplaced reports whether another backend server answers at the address that discovery lists for this incarnation.
func (s serverState) isReplaced() bool {
	return s.replacedAt != "" && s.replacedAt == s.instance.Address
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

// withCompletion removes a call to the given address that has ended, and records what its result tells about the
// incarnation. The expiry of the grant counts towards heldUntil unless the incarnation did not receive or rejected it.
func (s serverState) withCompletion(id int64, result command.Result, address string) serverState {
	switch result {
	case command.Done, command.Stale:
		s.answeredAt, s.replacedAt = address, ""
	case command.Replaced:
		s.replacedAt = address
	case command.Lost, command.Unsent, command.Invalid:
	}
	until, ok := s.pending[id]
	if !ok {
		return s
	}
	s.pending = maps.Clone(s.pending)
	delete(s.pending, id)
	switch result {
	case command.Done, command.Stale, command.Lost:
		s.heldUntil = latest(s.heldUntil, until)
	case command.Unsent, command.Invalid, command.Replaced:
	}
	return s
}
