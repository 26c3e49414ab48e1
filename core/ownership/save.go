package ownership

import (
	"maps"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// fenceBlock is the number of fencing tokens reserved by one write. A large block keeps moves from waiting for the
// store.
const fenceBlock = 1 << 20

// spareFencesPerMove times MaxMoves is the number of unused fencing tokens below which more are reserved. A move takes
// one token for its new owner and one for each time that its old owner is fenced.
const spareFencesPerMove = 4

// withSave appends a command that writes the map with all freed ranges given to their new owners, and that reserves
// fenceBlock more fencing tokens if isReserving is set. It appends nothing if there is nothing to write.
func (o Ownership) withSave(commands []command.Command, isReserving bool) (Ownership, []command.Command) {
	keys := o.keys
	var ranges []keyrange.Range
	reserved := o.reservedFence
	if isReserving {
		reserved = o.reservedFence + fenceBlock
	}
	moving := o.movingRanges()
	o.moves = maps.Clone(o.moves)
	for _, r := range moving {
		m := o.moves[r]
		if _, ok := o.members[m.to]; m.stage != freed || !ok {
			continue
		}
		next, fence, ok := o.withNextFence()
		if !ok {
			break
		}
		o = next
		m.toFence, m.stage = fence, saving
		o.moves[r] = m
		keys = keys.WithJoined(holding.Holding{Range: r, Owner: m.to, Fence: fence}, moving)
		ranges = append(ranges, r)
	}
	if len(ranges) == 0 && !isReserving {
		return o, commands
	}
	o, o.pendingSave = o.withNextID()
	o.savingRanges, o.isReservingFences = ranges, isReserving
	return o, append(commands, command.Save{ID: o.pendingSave, Keys: keys, ReservedFence: reserved})
}

// hasFreedRanges reports whether a freed range can be given to its new owner.
func (o Ownership) hasFreedRanges() bool {
	for _, m := range o.moves {
		if _, ok := o.members[m.to]; ok && m.stage == freed {
			return true
		}
	}
	return false
}
