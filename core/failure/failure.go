// Package failure defines the fields that the error types of all packages share.
package failure

import (
	"fmt"

	"redwingsill/core/kind"
)

// Failure is a failed operation with its kind and cause.
type Failure struct {
	Op    string
	Kind  kind.Kind
	Cause error
}

// New returns a failure of the operation op.
func New(op string, k kind.Kind, cause error) Failure {
	return Failure{Op: op, Kind: k, Cause: cause}
}

// Error returns the operation, the kind and the cause on one line.
func (f Failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.Op, f.Kind, f.Cause)
}

// Unwrap returns the cause for [errors.Is] and [errors.As].
func (f Failure) Unwrap() error { return f.Cause }

// IsKind reports whether the failure has kind k.
func (f Failure) IsKind(k kind.Kind) bool { return f.Kind == k }
