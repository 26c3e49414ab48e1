// Package placement holds the answers to slot requests.
package placement

// Placement is the answer to a slot request. The variants are [Place] and [Refuse].
//
//sumtype:decl
type Placement interface {
	// RequestTicket returns the ticket of the slot request.
	RequestTicket() uint64
	placement()
}
