package relay

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports that entries of the store can't be read or relayed: the operation, the kind of the failure and its
// cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
