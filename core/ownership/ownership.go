// Package ownership assigns the keys of one sharded service to backend servers. It holds the coordinator's state. A new
// owner of a key is written to the store only when the old one can no longer hold the key, and the new owner is granted
// the key only after that write.
package ownership

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
	"redwingsill/core/ownershipevent"
)

// Ownership is the coordinator's state for one service. It is immutable.
type Ownership struct {
	timing Timing
	// keys is the map last written to the store. The fencing tokens above lastFence, up to reservedFence, are reserved
	// but unused.
	keys          keymap.Map
	lastFence     int64
	reservedFence int64
	// inheritedFence is the highest token under which an earlier coordinator can have granted keys.
	inheritedFence int64
	// movesUntil is the end of the coordinator's store lease, when moves stop. Grants have arrived by then, or by
	// renewsUntil and CallTimeout while the store is unreachable.
	movesUntil  time.Time
	renewsUntil time.Time
	// unreachableUntil is the time until which the store is taken to be unreachable for at least two thirds of the hosts.
	unreachableUntil time.Time
	// startedAt is the time passed to New, or to the last WithNewTerm. This coordinator was elected no later than that.
	startedAt time.Time
	// inheritedUntil is when the last grant of earlier coordinators has expired, also at a backend server that doesn't
	// answer.
	inheritedUntil time.Time
	// inheritedArrivalsUntil is when the last grant of earlier coordinators has arrived.
	inheritedArrivalsUntil time.Time
	// settledAt is when this coordinator may first plan moves.
	settledAt time.Time
	// members are the backend servers that discovery lists, and servers the state of those and of earlier ones, which
	// may still hold keys. Both are keyed by incarnation.
	members map[string]instance.Instance
	servers map[string]serverState
	// renewals has pointers to immutable values, since the map is copied often and has thousands of them.
	renewals map[keyrange.Range]*renewal
	moves    map[keyrange.Range]move
	// capacities is how many requests of average duration each incarnation runs concurrently.
	capacities      map[string]float64
	pendingGrants   map[int64]pendingGrant
	pendingReleases map[int64]pendingRelease
	// pendingSave is the ID of the write in flight, or 0, and savingRanges the ranges that it moves.
	pendingSave  int64
	savingRanges []keyrange.Range
	// isReservingFences is set while the write also reserves fencing tokens.
	isReservingFences bool
	// lastID is the last ID given to a command.
	lastID int64
	// plannedAt is when moves were last planned, and balancedAt when the plan last balanced the load.
	plannedAt  time.Time
	balancedAt time.Time
	// rates are the request rates of keys at ratesAt.
	rates   keyrates.Rates
	ratesAt time.Time
	// mapState differs from mapCurrent while the store has lost the map. isUnheld is set once holds under an older map have probably
	// expired.
	mapState  mapState
	lostUntil time.Time // when a state with mapLost ends
	isUnheld  bool
	// isDeposed is set once a write to the store has failed.
	isDeposed bool
	// events is what happened since the last WithoutEvents.
	events []ownershipevent.Event
}

// New returns the state of a coordinator that starts at now, once it has been elected. The keys are the map as read
// from the store, and fence is the highest fencing token that any coordinator has reserved, or 0 if there was none.
func New(t Timing, keys keymap.Map, fence int64, now time.Time) Ownership {
	o := Ownership{timing: t, keys: keys, lastFence: fence, reservedFence: fence, inheritedFence: fence,
		settledAt: now.Add(t.SettleTime), startedAt: now,
		members: map[string]instance.Instance{}, servers: map[string]serverState{}, renewals: map[keyrange.Range]*renewal{},
		moves: map[keyrange.Range]move{}, pendingGrants: map[int64]pendingGrant{}, pendingReleases: map[int64]pendingRelease{}}
	if fence > 0 {
		o = o.withInheritedGrants(now)
	}
	return o
}

// WithLease sets the end of the coordinator's store lease. Grants are sent only if they arrive before it, or, while the
// store is unreachable, for up to UnreachableRenewGrace after it.
func (o Ownership) WithLease(until time.Time) Ownership {
	o.movesUntil, o.renewsUntil = until, until.Add(o.timing.UnreachableRenewGrace)
	return o
}

// WithStoreUnreachable records that at now the store is unreachable for at least two thirds of the hosts.
func (o Ownership) WithStoreUnreachable(now time.Time) Ownership {
	o.unreachableUntil = now.Add(o.timing.UnreachableTTL)
	return o
}

// WithMembers sets the service's backend servers from discovery.
func (o Ownership) WithMembers(members []instance.Instance, now time.Time) Ownership {
	next := make(map[string]instance.Instance, len(members))
	hasNewMember := false
	for _, m := range members {
		if _, ok := o.members[m.Incarnation()]; !ok {
			hasNewMember = true
		}
		next[m.Incarnation()] = m
	}
	if hasNewMember && len(o.keys.Holdings()) == 0 {
		o.settledAt = now.Add(o.timing.SettleTime)
	}
	o.members = next
	o.servers = maps.Clone(o.servers)
	for _, m := range members {
		s := o.servers[m.Incarnation()]
		s.instance = m
		o.servers[m.Incarnation()] = s
	}
	return o
}

// WithCapacities sets how many requests of average duration each incarnation runs concurrently. For one that is not in
// the map, the Slots of its instance count.
func (o Ownership) WithCapacities(capacities map[string]float64) Ownership {
	o.capacities = capacities
	return o
}

// Keys returns the map last written to the store.
func (o Ownership) Keys() keymap.Map { return o.keys }

// Unserved returns the ranges to which no request may be sent now: those that are moving, and those whose new owner has
// not acknowledged its grant. With an older map than the grants, requests go to the owners in it for as long as these may hold.
func (o Ownership) Unserved() []keyrange.Range {
	if o.mapState == mapOlder && o.isUnheld {
		return []keyrange.Range{keyrange.All()}
	}
	ranges := o.movingRanges()
	for r, g := range o.renewals {
		if g.isUnacknowledged {
			ranges = append(ranges, r)
		}
	}
	slices.SortFunc(ranges, func(a, b keyrange.Range) int { return a.From - b.From })
	return ranges
}

func (o Ownership) movingRanges() []keyrange.Range {
	var ranges []keyrange.Range
	for r := range o.moves {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, func(a, b keyrange.Range) int { return a.From - b.From })
	return ranges
}

func (o Ownership) withNextID() (Ownership, int64) {
	o.lastID++
	return o, o.lastID
}

// withNextFence returns the next of the reserved fencing tokens, and whether one was left.
func (o Ownership) withNextFence() (Ownership, int64, bool) {
	if o.lastFence >= o.reservedFence {
		return o, 0, false
	}
	o.lastFence++
	return o, o.lastFence, true
}

// serverOf returns the state of an incarnation, also after discovery has removed it, and whether its address is known.
func (o Ownership) serverOf(incarnation string) (serverState, bool) {
	s, ok := o.servers[incarnation]
	return s, ok && s.instance.Address != ""
}

func (o Ownership) withServer(incarnation string, s serverState) Ownership {
	o.servers = maps.Clone(o.servers)
	o.servers[incarnation] = s
	return o
}

func (o Ownership) withMove(r keyrange.Range, m move) Ownership {
	o.moves = maps.Clone(o.moves)
	o.moves[r] = m
	return o
}

// canOwn reports whether keys may be given to an incarnation, and whether it may keep those that it has.
func (o Ownership) canOwn(incarnation string) bool {
	m, ok := o.members[incarnation]
	return ok && !m.IsLeaving && !o.servers[incarnation].isReplaced()
}

// mayHoldUntil returns when the last grant to an incarnation is certain to have expired.
func (o Ownership) mayHoldUntil(incarnation string) time.Time {
	return latest(o.inheritedUntil, o.servers[incarnation].lastExpiry())
}

// holdTime returns the hold time of grants sent at now, which is longer while the store is unreachable.
func (o Ownership) holdTime(now time.Time) time.Duration {
	if now.Before(o.unreachableUntil) {
		return o.timing.UnreachableHoldTime
	}
	return o.timing.HoldTime
}

// latestExpiry returns when a grant sent at now is certain to have expired. It may arrive up to CallTimeout later.
func (o Ownership) latestExpiry(holdTime time.Duration, now time.Time) time.Time {
	return now.Add(o.timing.CallTimeout + o.timing.onSlowClock(holdTime))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
