// Package ownership decides who owns the keys of one divided service: it is the coordinator's state. What it decides is
// durable before any backend server hears of it, and no key goes to another backend server while the one before may
// still hold it.
package ownership

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// Ownership is the coordinator's state for one service. It is immutable.
type Ownership struct {
	terms Terms
	// keys is the durable map. The fencing tokens from fence up to reserved are free.
	keys     keymap.Map
	fence    int64
	reserved int64
	// first is the fencing token up to which owners were granted their keys by an earlier coordinator.
	first int64
	// movesUntil and renewsUntil are when the coordinator must stop to move and to renew.
	movesUntil  time.Time
	renewsUntil time.Time
	// awayUntil is until when the store counts as away for nearly all hosts.
	awayUntil time.Time
	// electedAt is when this coordinator began.
	electedAt time.Time
	// inheritedUntil is until when an earlier coordinator's grants may hold at a backend server that can't be asked.
	inheritedUntil time.Time
	settledAt      time.Time
	members        map[string]instance.Instance
	known          map[string]life
	renewals       map[keyrange.Range]renewal
	moves          map[keyrange.Range]move
	capacities     map[string]float64
	grants         map[int64]grant
	releases       map[int64]keyrange.Range
	save           int64
	saved          []keyrange.Range
	isReserving    bool
	lastID         int64
	plannedAt      time.Time
	balancedAt     time.Time
	isDeposed      bool
}

// New returns the state of a host that has just become the coordinator: the durable map as it was read, and the highest
// fencing token that any coordinator has reserved, or 0 where there was none yet.
func New(t Terms, keys keymap.Map, fence int64, now time.Time) Ownership {
	o := Ownership{terms: t, keys: keys, fence: fence, reserved: fence, first: fence,
		settledAt: now.Add(t.Settle), electedAt: now,
		members: map[string]instance.Instance{}, known: map[string]life{}, renewals: map[keyrange.Range]renewal{},
		moves: map[keyrange.Range]move{}, grants: map[int64]grant{}, releases: map[int64]keyrange.Range{}}
	if fence > 0 {
		o.inheritedUntil = now.Add(t.Extension + t.CallTimeout + t.LongestHold())
	}
	return o
}

// WithLease returns the state with the lease renewed until a time. Renewals of grants go on for a while after it.
func (o Ownership) WithLease(until time.Time) Ownership {
	o.movesUntil, o.renewsUntil = until, until.Add(o.terms.Extension)
	return o
}

// WithAway returns the state in which the store is known, as of now, to be away for nearly all hosts.
func (o Ownership) WithAway(now time.Time) Ownership {
	o.awayUntil = now.Add(o.terms.Away)
	return o
}

// WithSound returns the state where the store is known not to have been away since a time, for any coordinator. What an
// earlier one granted then ends sooner: it stopped soon after its lease, or made its last long grants before that time.
func (o Ownership) WithSound(since time.Time) Ownership {
	normal := o.electedAt.Add(o.terms.Grace + o.terms.CallTimeout + o.terms.slow(o.terms.Hold))
	long := since.Add(o.terms.Away + o.terms.CallTimeout + o.terms.LongestHold())
	if until := latest(normal, long); until.Before(o.inheritedUntil) {
		o.inheritedUntil = until
	}
	return o
}

// Inherits reports whether an earlier coordinator's grants may hold at now.
func (o Ownership) Inherits(now time.Time) bool { return now.Before(o.inheritedUntil) }

// WithMembers returns the state with the service's backend servers as discovery tells them. The addresses give the life
// that now has each address, of any service.
func (o Ownership) WithMembers(members []instance.Instance, addresses map[string]string, now time.Time) Ownership {
	next := make(map[string]instance.Instance, len(members))
	grew := false
	for _, m := range members {
		if _, ok := o.members[m.Incarnation()]; !ok {
			grew = true
		}
		next[m.Incarnation()] = m
	}
	if grew && len(o.keys.Holdings()) == 0 {
		o.settledAt = now.Add(o.terms.Settle)
	}
	o.members = next
	o.known = maps.Clone(o.known)
	for _, m := range members {
		l := o.known[m.Incarnation()]
		l.instance = m
		o.known[m.Incarnation()] = l
	}
	for name, l := range o.known {
		if _, ok := next[name]; !ok && l.isReplaced(members, addresses) {
			l.isOver = true
			o.known[name] = l
		}
	}
	return o
}

// WithCapacities returns the state with how many average requests each life runs at the same time.
func (o Ownership) WithCapacities(capacities map[string]float64) Ownership {
	o.capacities = capacities
	return o
}

// Keys returns the durable map.
func (o Ownership) Keys() keymap.Map { return o.keys }

// Unserved returns the ranges that nobody may be asked for at present: those that move, and those whose new owner has not
// acknowledged them.
func (o Ownership) Unserved() []keyrange.Range {
	all := o.moving()
	for r, g := range o.renewals {
		if g.isNew {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b keyrange.Range) int { return a.From - b.From })
	return all
}

func (o Ownership) moving() []keyrange.Range {
	var all []keyrange.Range
	for r := range o.moves {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b keyrange.Range) int { return a.From - b.From })
	return all
}

// IsActing reports whether the coordinator may still act at now.
func (o Ownership) IsActing(now time.Time) bool {
	return !o.isDeposed && (now.Before(o.movesUntil.Add(o.terms.Grace)) || now.Before(o.renewsUntil) && now.Before(o.awayUntil))
}

// IsDeposed reports whether another coordinator has been seen to act.
func (o Ownership) IsDeposed() bool { return o.isDeposed }

func (o Ownership) withID() (Ownership, int64) {
	o.lastID++
	return o, o.lastID
}

// withFence returns the next fencing token, and whether one is free.
func (o Ownership) withFence() (Ownership, int64, bool) {
	if o.fence >= o.reserved {
		return o, 0, false
	}
	o.fence++
	return o, o.fence, true
}

// instanceOf returns what is known of a life, even of one that discovery no longer tells.
func (o Ownership) instanceOf(name string) (life, bool) {
	l, ok := o.known[name]
	return l, ok && l.instance.Address != ""
}

func (o Ownership) withLife(name string, l life) Ownership {
	o.known = maps.Clone(o.known)
	o.known[name] = l
	return o
}

func (o Ownership) withMove(r keyrange.Range, m move) Ownership {
	o.moves = maps.Clone(o.moves)
	o.moves[r] = m
	return o
}

func (o Ownership) withoutMove(r keyrange.Range) Ownership {
	o.moves = maps.Clone(o.moves)
	delete(o.moves, r)
	return o
}

// heldUntil returns until when a life may hold keys that it was granted.
func (o Ownership) heldUntil(name string) time.Time {
	return latest(o.inheritedUntil, o.known[name].holdsUntil())
}

// hold returns for how long keys are granted at now.
func (o Ownership) hold(now time.Time) time.Duration {
	if now.Before(o.awayUntil) {
		return o.terms.HoldAway
	}
	return o.terms.Hold
}

// heldBy returns until when a grant of a length that is sent at now may hold: it may arrive as late as its call ends.
func (o Ownership) heldBy(hold time.Duration, now time.Time) time.Time {
	return now.Add(o.terms.CallTimeout + o.terms.slow(hold))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
