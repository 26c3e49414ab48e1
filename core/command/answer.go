package command

import "redwingsill/core/proof"

// Answer is a backend server's answer to a [Grant] or a [Release].
type Answer struct {
	Result Result
	// Status is the status code of the response, or 0 if there was none.
	Status int
	// Server is the ID that the answering server gave itself, or empty.
	Server string
	// Proof tells whether the answer is certain to belong to the call.
	Proof proof.Proof
	// Handover is the state that the server hands over to the next owner of released keys, or empty.
	Handover string
}
