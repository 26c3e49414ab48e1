// Package failure holds the parts that every package's error type shares.
package failure

import (
	"fmt"

	"redwingsill/core/kind"
)

// Failure is an operation that failed, the class of the failure and its cause.
type Failure struct {
	Op    string
	Kind  kind.Kind
	Cause error
}

// New returns a failure of op.
func New(op string, k kind.Kind, cause error) Failure {
	return Failure{Op: op, Kind: k, Cause: cause}
}

// Error returns the operation, the class and the cause in one line.
func (f Failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.Op, f.Kind, f.Cause)
}

// Unwrap returns the cause.
func (f Failure) Unwrap() error { return f.Cause }

// IsKind reports whether the failure is of a class.
func (f Failure) IsKind(k kind.Kind) bool { return f.Kind == k }
