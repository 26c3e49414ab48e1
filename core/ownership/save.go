package ownership

import (
	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// fenceBlock is how many fencing tokens are reserved at once, so that few moves wait for the store.
const fenceBlock = 1 << 20

// withSave orders the map with all ranges that are free at their new owners to be made durable.
func (o Ownership) withSave(orders []command.Command, reserves bool) (Ownership, []command.Command) {
	keys := o.keys
	var saved []keyrange.Range
	reserved := o.reserved
	if reserves {
		reserved = o.reserved + fenceBlock
	}
	for _, r := range o.moving() {
		m := o.moves[r]
		if _, ok := o.members[m.to]; m.stage != freed || !ok {
			continue
		}
		next, fence, ok := o.withFence()
		if !ok {
			break
		}
		o = next
		m.next, m.stage = fence, saving
		o = o.withMove(r, m)
		keys = keys.WithJoined(holding.Holding{Range: r, Owner: m.to, Fence: fence}, o.moving())
		saved = append(saved, r)
	}
	if len(saved) == 0 && !reserves {
		return o, orders
	}
	o, o.save = o.withID()
	o.saved, o.isReserving = saved, reserves
	return o, append(orders, command.Save{ID: o.save, Keys: keys, Fence: reserved})
}

func (o Ownership) isAnyFreed() bool {
	for _, m := range o.moves {
		if _, ok := o.members[m.to]; ok && m.stage == freed {
			return true
		}
	}
	return false
}
