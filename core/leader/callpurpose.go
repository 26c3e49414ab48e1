package leader

// callPurpose is what a platform call that is still unanswered is for. The zero value stands for no such call.
type callPurpose string

const (
	watchConfiguration callPurpose = "watch configuration"
	readAssignment     callPurpose = "read assignment"
	writeAssignment    callPurpose = "write assignment"
	renewStoreLease    callPurpose = "renew store lease"
	writeTerm          callPurpose = "write term"
	readStoreLease     callPurpose = "read store lease"
	deleteStoreLease   callPurpose = "delete store lease"
	readTerm           callPurpose = "read term"
)
