package commandline

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports why a command failed: the operation, the kind of the failure and its cause. The kind determines the exit
// status.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
