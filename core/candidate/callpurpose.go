package candidate

// callPurpose is what a platform call that is still unanswered is for. The zero value stands for no such call.
type callPurpose string

const (
	readStoreLease   callPurpose = "read store lease"
	createStoreLease callPurpose = "create store lease"
	readTerm         callPurpose = "read term"
	writeTerm        callPurpose = "write term"
	renewStoreLease  callPurpose = "renew store lease"
)
