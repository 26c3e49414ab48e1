package candidate

// callPurpose is the reason for a platform call that is still unanswered.
type callPurpose string

const (
	readStoreLease   callPurpose = "read store lease"
	createStoreLease callPurpose = "create store lease"
	readTerm         callPurpose = "read term"
	writeTerm        callPurpose = "write term"
	renewStoreLease  callPurpose = "renew store lease"
)
