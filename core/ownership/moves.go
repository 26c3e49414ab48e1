package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
)

// withFenced takes a move on after the old owner was granted the range under a higher token.
func (o Ownership) withFenced(r keyrange.Range, m move, result command.Result, now time.Time) Ownership {
	m.grant = 0
	switch result {
	case command.Done:
		m.stage = releasing
	case command.Stale, command.Lost:
		// The next try takes a newer token: a grant that was lost may still take effect after another under the same one.
		m.stage, m.isLateGrantPossible = releasing, true
		m.retryAt = now.Add(o.terms.Retry)
	case command.Unsent, command.Invalid:
		m.retryAt = now.Add(o.terms.Retry)
	}
	return o.withMove(r, m)
}

// WithReleased returns the state after a release has ended. The handover is what the old owner left for the next one.
func (o Ownership) WithReleased(id int64, result command.Result, handover string, now time.Time) Ownership {
	r, ok := o.releases[id]
	if !ok {
		return o
	}
	o.releases = maps.Clone(o.releases)
	delete(o.releases, id)
	m, ok := o.moves[r]
	if !ok || m.release != id {
		return o
	}
	m.release = 0
	if result == command.Done && m.stage == releasing {
		m.stage, m.handover = freed, handover
	} else {
		m.retryAt = now.Add(o.terms.Retry)
	}
	return o.withMove(r, m)
}

// WithSaved returns the state after a map was made durable or not. A coordinator whose save is stale stops for good.
func (o Ownership) WithSaved(save command.Save, result command.Result, now time.Time) Ownership {
	if save.ID != o.save {
		return o
	}
	o.save = 0
	if result != command.Done {
		o.isDeposed = true
		return o
	}
	o.keys = save.Keys
	if o.isReserving {
		o.reserved = save.Fence
	}
	for _, r := range o.saved {
		m := o.moves[r]
		o = o.withoutMove(r)
		o.renewals = maps.Clone(o.renewals)
		o.renewals[r] = renewal{owner: m.to, fence: m.next, handover: m.handover, movedAt: now, isNew: true}
	}
	o.saved = nil
	return o
}
