package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// withRenewals orders the grants that are due. Ranges that are moving are left out.
func (o Ownership) withRenewals(orders []command.Command, now time.Time) (Ownership, []command.Command) {
	due := make(map[keyrange.Range]renewal, len(o.renewals)+1)
	sent := map[string][]int64{}
	hold := o.hold(now)
	for _, h := range o.keys.Holdings() {
		for _, part := range o.still(h.Range) {
			g, ok := o.renewals[part]
			if !ok || g.owner != h.Owner || g.fence != h.Fence {
				g = o.cut(part, h)
			}
			if to, known := o.members[g.owner]; known && g.isDue(o.terms, now) {
				o, g.id = o.withID()
				g.sentAt, g.isOpen = now, true
				sent[g.owner] = append(sent[g.owner], g.id)
				orders = append(orders, command.Grant{ID: g.id, To: to, Range: part, Fence: g.fence, Hold: hold, Handover: g.handover})
			}
			due[part] = g
		}
	}
	o.renewals = due
	if len(sent) == 0 {
		return o, orders
	}
	o.grants, o.known = maps.Clone(o.grants), maps.Clone(o.known)
	for owner, ids := range sent {
		o.known[owner] = o.known[owner].withOpen(o.heldBy(hold, now), ids...)
	}
	for r, g := range due {
		if g.isOpen {
			o.grants[g.id] = grant{owner: g.owner, of: r}
		}
	}
	return o, orders
}

// still returns the parts of a range that are not moving.
func (o Ownership) still(r keyrange.Range) []keyrange.Range {
	parts := []keyrange.Range{r}
	for moving := range o.moves {
		if !moving.Overlaps(r) {
			continue
		}
		var next []keyrange.Range
		for _, part := range parts {
			next = append(next, part.Minus(moving)...)
		}
		parts = next
	}
	return parts
}

// cut returns the renewal of a range that was cut from a larger one of the same grant, or joined from smaller ones. It
// goes on with the time of the whole, so that a cut alone sends nothing early.
func (o Ownership) cut(part keyrange.Range, h holding.Holding) renewal {
	next := renewal{owner: h.Owner, fence: h.Fence, isNew: h.Fence > o.first}
	for r, whole := range o.renewals {
		if whole.owner != h.Owner || whole.fence != h.Fence || !r.Overlaps(part) {
			continue
		}
		next.handover, next.isNew, next.movedAt = whole.handover, whole.isNew, whole.movedAt
		if r.From <= part.From && r.To >= part.To {
			next.sentAt = whole.sentAt
		}
		break
	}
	return next
}
