// Package placement holds what became of an ask.
package placement

// Placement answers an ask. The variants are [Place] and [Refuse].
//
//sumtype:decl
type Placement interface {
	placement()
}
