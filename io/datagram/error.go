package datagram

import (
	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error reports a failure to open the socket, or to send, receive or decode a datagram: the operation, the kind of the
// failure and its cause.
type Error struct{ failure.Failure }

func newError(op string, k kind.Kind, cause error) *Error {
	return &Error{Failure: failure.New(op, k, cause)}
}
