package origin

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error is why a request got no response: the failed operation, the kind of the failure and its cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
