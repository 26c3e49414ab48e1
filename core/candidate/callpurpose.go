package candidate

// callPurpose is the reason for a platform call that is still unanswered.
type callPurpose string

const (
	readStoreLease   callPurpose = "read lease"
	createStoreLease callPurpose = "take lease"
	readTerm         callPurpose = "read term"
	writeTerm        callPurpose = "write term"
	renewStoreLease  callPurpose = "renew lease"
)
