package candidate

// purpose is what an outstanding call to the platform is for.
type callPurpose string

const (
	readStoreLease   callPurpose = "read lease"
	createStoreLease callPurpose = "take lease"
	readTerm         callPurpose = "read term"
	writeTerm        callPurpose = "write term"
	renewStoreLease  callPurpose = "renew lease"
)
