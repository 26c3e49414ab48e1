package configuration

import (
	"fmt"
	"strings"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/problem"
)

// Error reports why a configuration could not be parsed or is not valid.
type Error struct {
	failure.Failure
	// Problems lists every invalid field of a rejected input.
	Problems []problem.Problem
}

func newError(op string, k kind.Kind, problems ...problem.Problem) *Error {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	cause := fmt.Errorf("%s", strings.Join(lines, "; "))
	return &Error{Failure: failure.New(op, k, cause), Problems: problems}
}
