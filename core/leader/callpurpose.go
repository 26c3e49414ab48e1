package leader

// callPurpose says why an unanswered platform call was made. The zero value means that there is no such call.
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
