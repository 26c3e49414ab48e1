package updates

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports a failed request for store updates: the operation, the kind of the failure and its cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
