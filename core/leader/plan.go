package leader

import (
	"redwingsill/core/assignment"
	"redwingsill/core/unit"
)

// plan is the assignment that replaces the one in force once the units that move have been released.
type plan struct {
	next assignment.Assignment
	// moves gives the present owner of each unit that moves.
	moves map[unit.Unit]string
	// isWriting is set while a write of the assignment may be taking effect at the platform.
	isWriting bool
}
