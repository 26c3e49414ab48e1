package responsesyntax

import (
	"errors"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
)

// Error is why bytes are no valid response.
type Error struct{ failure.Failure }

func newError(reason string) *Error {
	return &Error{Failure: failure.New("check response", kind.Invalid, errors.New(reason))}
}
