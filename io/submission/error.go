package submission

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports that a submission lacks a required field or that one of its resources is not valid JSON.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
