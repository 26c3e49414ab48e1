// Package placement holds what became of an ask.
package placement

// Placement answers an ask. The variants are [Place] and [Refuse].
//
//sumtype:decl
type Placement interface {
	// Of returns the ticket of the ask that is answered.
	Of() uint64
	placement()
}
