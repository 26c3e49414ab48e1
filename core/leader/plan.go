package leader

import (
	"redwingsill/core/assignment"
	"redwingsill/core/unit"
)

// plan is an assignment that is to follow the one in force once the units that move are released.
type plan struct {
	next assignment.Assignment
	// moves gives the present owner of each unit that moves.
	moves map[unit.Unit]string
	// isWriting says that the platform has been asked to keep it.
	isWriting bool
}
