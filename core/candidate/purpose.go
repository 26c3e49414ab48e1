package candidate

// purpose is what an outstanding call to the platform is for.
type purpose string

const (
	readLease  purpose = "read lease"
	takeLease  purpose = "take lease"
	readTerm   purpose = "read term"
	writeTerm  purpose = "write term"
	renewLease purpose = "renew lease"
)
