package change

import (
	"fmt"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports that a change was based on another revision than the current one. Its kind is Conflict.
type Error struct{ failure.Failure }

func newConflict(expected, current int64, changes []string) *Error {
	return &Error{Failure: failure.New("apply", kind.Conflict,
		fmt.Errorf("the change was made for revision %d, but revision %d is in force; changed since: %v", expected, current, changes))}
}
