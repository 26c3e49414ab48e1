package bodybudget

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error is why a body was not read to its end although its sender sent it: of kind Invalid if it is too long, Full if
// the bodies that are being read need too much memory.
type Error struct{ failure.Failure }

func newError(k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New("read body", k, cause)}
}
