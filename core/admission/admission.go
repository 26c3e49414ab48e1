// Package admission holds the answers to whether a long body is read.
package admission

// Admission is the answer for a long body whose request's head has been read. The variants are [Admitted] and [Refused].
//
//sumtype:decl
type Admission interface {
	admission()
}
