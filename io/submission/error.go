package submission

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports a submission that lacks a required field or lists a resource that is not JSON: the operation, the kind of
// the failure and its cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
