package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// withRenewals appends the grants that are due. Moving ranges are left out.
func (o Ownership) withRenewals(commands []command.Command, now time.Time) (Ownership, []command.Command) {
	next := make(map[keyrange.Range]*renewal, len(o.renewals)+1)
	sent := map[string][]int64{}
	var sentRanges []keyrange.Range
	holdTime, maySend := o.holdTime(now), o.maySendGrants(now)
	moving := o.movingRanges()
	for _, h := range o.keys.Holdings() {
		for _, part := range h.Range.MinusAll(moving) {
			g, ok := o.renewals[part]
			if !ok || g.owner != h.Owner || g.fence != h.Fence {
				derived := o.derivedRenewal(part, h)
				g = &derived
			}
			next[part] = g
			if !maySend || !g.isDue(o.timing, now) {
				continue
			}
			if to, known := o.members[g.owner]; known && !o.servers[g.owner].isReplaced() {
				toHoldTime, maySendTo := o.grantHoldTime(to, holdTime, now)
				if !maySendTo {
					continue
				}
				renewed := *g
				o, renewed.id = o.withNextID()
				renewed.sentAt, renewed.isPending = now, true
				next[part] = &renewed
				sent[g.owner] = append(sent[g.owner], renewed.id)
				sentRanges = append(sentRanges, part)
				commands = append(commands, command.Grant{ID: renewed.id, To: to, Range: part, Fence: g.fence, HoldTime: toHoldTime, Handover: g.handover,
					Connection: o.servers[g.owner].connectionOf(part)})
			}
		}
	}
	o.renewals = next
	if len(sent) == 0 {
		return o, commands
	}
	o.pendingGrants, o.servers = maps.Clone(o.pendingGrants), maps.Clone(o.servers)
	for owner, ids := range sent {
		o.servers[owner] = o.servers[owner].withPending(o.latestExpiry(o.holdTimeOf(owner, holdTime, now), now), ids...)
	}
	for _, r := range sentRanges {
		g := next[r]
		o.pendingGrants[g.id] = pendingGrant{owner: g.owner, keyRange: r, fence: g.fence, address: o.servers[g.owner].instance.Address}
	}
	return o, commands
}

// derivedRenewal returns the renewal of a range that has none yet. It continues the renewal of an overlapping range with
// the same owner and token, from which the range was split or to which other ranges were joined. A part keeps the send
// time of the whole range, so that a split alone sends no grant early. Without an overlapping range, a holding that an
// earlier coordinator granted counts as acknowledged.
func (o Ownership) derivedRenewal(part keyrange.Range, h holding.Holding) renewal {
	next := renewal{owner: h.Owner, fence: h.Fence, isUnacknowledged: h.Fence > o.inheritedFence}
	for r, whole := range o.renewals {
		if whole.owner != h.Owner || whole.fence != h.Fence || !r.Overlaps(part) {
			continue
		}
		next.handover, next.isHandoverPresumed, next.isUnacknowledged, next.acquiredAt = whole.handover, whole.isHandoverPresumed, whole.isUnacknowledged, whole.acquiredAt
		next.previousOwner = whole.previousOwner
		if r.From <= part.From && r.To >= part.To {
			next.sentAt = whole.sentAt
		}
		break
	}
	return next
}
