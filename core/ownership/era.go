package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/ownershipevent"
)

// mapState says how the map in the store relates to the grants of earlier coordinators. It differs from mapCurrent only after the
// store has come back from an older copy.
type mapState uint8

const (
	// mapCurrent: the map is the last one that any coordinator has written.
	mapCurrent mapState = iota
	// mapOlder: the map may be older than the grants in force, so an owner in it may have released its keys to another server.
	mapOlder
	// mapLost: this coordinator's map is the current one, and is no longer in the store. Its lease was of the store's last era.
	mapLost
	// mapUnwritten: as mapLost, but the coordinator was elected again and may write the map.
	mapUnwritten
)

// NewFromOlderMap returns the state of a coordinator whose map may be older than the grants of earlier coordinators, as the store has
// come back from an older copy. It sends nothing until all these grants are certain to have expired. Then it writes the map under new
// tokens, which are above fence, and grants.
func NewFromOlderMap(t Timing, keys keymap.Map, fence int64, now time.Time) Ownership {
	o := New(t, keys, fence, now).withInheritedGrants(now)
	o.mapState = mapOlder
	return o
}

// WithLostEra returns the state of a coordinator that learns at now that its store has come back from an older copy, and whether its
// map can still be used: as long as it may renew grants, no other coordinator can have given keys on. Moves stop. Grants are renewed
// to the end of the lease or of the last finding that the store was unreachable. The state stays for OutageDetectionTime longer, which
// is less than another coordinator of the new era waits before it grants.
func (o Ownership) WithLostEra(now time.Time) (Ownership, bool) {
	if o.isDeposed || o.mapState == mapOlder || !now.Before(o.movesUntil) && !o.renewsWithoutStore(now) {
		return o, false
	}
	if len(o.keys.Holdings()) == 0 || len(o.keys.Gaps()) > 0 {
		return o, false // a coordinator elected after an early end of the lease gives ranges without an owner away at once
	}
	if o.mapState != mapLost {
		o.lostUntil = latest(o.movesUntil, now).Add(o.timing.OutageDetectionTime)
	}
	o.mapState, o.renewsUntil = mapLost, earliest(o.renewsUntil, latest(o.movesUntil, o.unreachableUntil))
	// A write in flight is gone, or counts for nothing. No grant has followed it.
	o.pendingSave, o.savingRanges, o.isReservingFences = 0, nil, false
	o.moves = maps.Clone(o.moves)
	for r, m := range o.moves {
		if m.stage == saving {
			m.stage, m.toFence = freed, 0
			o.moves[r] = m
		}
	}
	return o, true
}

// WithNewEra returns the state of a coordinator that was elected again after WithLostEra, in a term that began no later than now. It
// writes its map before it moves keys, under tokens that are raised above those that a coordinator in between may have used. The
// lease is that of the last term until WithLease.
func (o Ownership) WithNewEra(raise int64, now time.Time) Ownership {
	o = o.WithNewTerm(now)
	o.mapState = mapUnwritten
	o.reservedFence += raise
	o.lastFence = o.reservedFence
	return o
}

// IsMapLost reports whether the store has come back from an older copy since this coordinator's election.
func (o Ownership) IsMapLost() bool { return o.mapState == mapLost }

// withOlderMap waits until no earlier grant can be in force, and then writes the map with a new token for each holding.
func (o Ownership) withOlderMap(now time.Time) (Ownership, []command.Command) {
	o.isUnheld = o.isUnheld || !now.Before(o.startedAt.Add(o.timing.HoldTime))
	if o.HasInheritedGrants(now) || !now.Before(o.movesUntil) || o.pendingSave != 0 {
		return o, nil
	}
	fence := o.lastFence
	held := make([]holding.Holding, 0, len(o.keys.Holdings()))
	for _, h := range o.keys.Holdings() {
		fence++
		held = append(held, holding.Holding{Range: h.Range, Owner: h.Owner, Fence: fence})
		o = o.withEvent(ownershipevent.RangeFreed{Range: h.Range, Owner: h.Owner, Fence: h.Fence, Reason: ownershipevent.Expired, MayHoldUntil: o.inheritedUntil})
	}
	o.lastFence = fence
	return o.withWholeMap(o.keys.WithAll(held), fence+fenceBlock)
}

// withWholeMap returns the command that writes a map, and reserves tokens up to the given one, without moving a range.
func (o Ownership) withWholeMap(keys keymap.Map, reserved int64) (Ownership, []command.Command) {
	o, o.pendingSave = o.withNextID()
	o.savingRanges, o.isReservingFences = nil, true
	return o, []command.Command{command.Save{ID: o.pendingSave, Keys: keys, ReservedFence: reserved}}
}
