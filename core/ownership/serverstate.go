package ownership

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
	"redwingsill/core/proof"
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
	// presumed are the grants whose answers may belong to earlier calls.
	presumed []presumedGrant
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

// mayTakePresumed reports whether a presumed grant of keys of the range may still be carried out at now.
func (s serverState) mayTakePresumed(r keyrange.Range, now time.Time) bool {
	return slices.ContainsFunc(s.presumed, func(g presumedGrant) bool { return g.keyRange.Overlaps(r) && now.Before(g.until) })
}

// connectionOf returns the connection of the last presumed grant of keys of the range, or 0. A call that follows on it and has a
// certain answer settles the grants.
func (s serverState) connectionOf(r keyrange.Range) int64 {
	last := presumedGrant{}
	for _, g := range s.presumed {
		if g.keyRange.Overlaps(r) && g.until.After(last.until) {
			last = g
		}
	}
	return last.proof.Connection
}

// withAnswer records a grant that was answered with success. It takes the expiry of the grant from pending, so it comes before
// withCompletion.
func (s serverState) withAnswer(g pendingGrant, c command.Completion, now time.Time) serverState {
	switch {
	case c.Result != command.Done:
		return s
	case c.Proof.IsPresumed:
		return s.withPresumed(presumedGrant{keyRange: g.keyRange, fence: g.fence, until: s.pending[c.ID], proof: c.Proof}, now)
	}
	return s.withoutRefused(g.keyRange, g.fence)
}

// withPresumed adds a presumed grant, which takes the place of earlier ones of its range and token on its connection. Expired ones
// are dropped.
func (s serverState) withPresumed(added presumedGrant, now time.Time) serverState {
	next := make([]presumedGrant, 0, len(s.presumed)+1)
	for _, g := range s.presumed {
		isRepeated := g.keyRange == added.keyRange && g.fence == added.fence && g.proof.Connection == added.proof.Connection
		if !isRepeated && now.Before(g.until) {
			next = append(next, g)
		}
	}
	s.presumed = append(next, added)
	return s
}

// withSettled drops the presumed grants that an answer with the given proof settles. They were carried out.
func (s serverState) withSettled(p proof.Proof) serverState {
	for _, g := range s.presumed {
		if p.Settles(g.proof) {
			s = s.withoutRefused(g.keyRange, g.fence)
		}
	}
	return s.withoutPresumed(func(g presumedGrant) bool { return p.Settles(g.proof) })
}

// withoutRefused drops the presumed grants that the server refuses since it has seen the token on keys of the range.
func (s serverState) withoutRefused(r keyrange.Range, fence int64) serverState {
	return s.withoutPresumed(func(g presumedGrant) bool { return g.fence < fence && g.keyRange.Overlaps(r) })
}

func (s serverState) withoutPresumed(isDropped func(presumedGrant) bool) serverState {
	if slices.ContainsFunc(s.presumed, isDropped) {
		s.presumed = slices.DeleteFunc(slices.Clone(s.presumed), isDropped)
	}
	return s
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
