package command

import "redwingsill/core/proof"

// Completion is the result of one command.
type Completion struct {
	// ID is the ID of the command.
	ID     int64
	Result Result
	Proof  proof.Proof
}
