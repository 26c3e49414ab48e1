package leader

import (
	"redwingsill/core/assignment"
	"redwingsill/core/unit"
)

// plan is the assignment that is to replace the one in force. It is written to the platform once no host can be serving
// the units that move.
type plan struct {
	next assignment.Assignment
	// moves gives the present owner of each unit that moves.
	moves map[unit.Unit]string
	// isWriting is set from the write of next to the platform until the write has succeeded or a read shows that it has
	// not.
	isWriting bool
}
