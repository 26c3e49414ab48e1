package leader

// purpose is what an outstanding call to the platform is for.
type callPurpose string

const (
	watchConfiguration callPurpose = "watch configuration"
	readAssignment     callPurpose = "read assignment"
	writeAssignment    callPurpose = "write assignment"
	renewStoreLease    callPurpose = "renew lease"
	writeTerm          callPurpose = "write term"
	readStoreLease     callPurpose = "read lease"
	deleteStoreLease   callPurpose = "drop lease"
	readTerm           callPurpose = "read term"
)
