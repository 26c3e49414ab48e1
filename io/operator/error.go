package operator

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports that the configuration could not be read from the platform or written to it: the operation, the kind of
// the failure and its cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
