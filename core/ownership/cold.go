package ownership

import "time"

// coldMovesDivisor divides the number of cold servers whose requests are limited to give the number of ranges that may move at the
// same time beyond the usual ones. When all servers of a data centre turn cold together, half of their keys have to move within the
// warm-up of some seconds, in about one range for each server.
const coldMovesDivisor = 2

// coldMoves returns how many more ranges may move at the same time at now because servers are cold.
func (o Ownership) coldMoves(now time.Time) int {
	cold := 0
	for _, m := range o.members {
		if m.IsColdLimited(now) {
			cold++
		}
	}
	return cold / coldMovesDivisor
}
