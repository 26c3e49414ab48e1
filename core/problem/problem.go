// Package problem defines a validation error of one input field.
package problem

import "fmt"

// Problem is an invalid field: its path, the given value and the allowed values.
type Problem struct {
	Path    string
	Given   string
	Allowed string
}

// New returns a problem at path. The given value is formatted with %v.
func New(path string, given any, allowed string) Problem {
	return Problem{Path: path, Given: fmt.Sprintf("%v", given), Allowed: allowed}
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", p.Path, p.Given, p.Allowed)
}
