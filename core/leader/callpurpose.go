package leader

// callPurpose is the reason for a platform call that is still unanswered.
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
