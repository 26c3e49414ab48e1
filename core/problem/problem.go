// Package problem holds one thing that is wrong with an input.
package problem

import "fmt"

// Problem is one wrong field: where it is, what was given and what is allowed.
type Problem struct {
	Path    string
	Given   string
	Allowed string
}

// New returns a problem at path. The value given is printed as Go prints it.
func New(path string, given any, allowed string) Problem {
	return Problem{Path: path, Given: fmt.Sprintf("%v", given), Allowed: allowed}
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", p.Path, p.Given, p.Allowed)
}
