package leader

// purpose is what an outstanding call to the platform is for.
type purpose string

const (
	watchConfiguration purpose = "watch configuration"
	readAssignment     purpose = "read assignment"
	writeAssignment    purpose = "write assignment"
	renewLease         purpose = "renew lease"
	writeTerm          purpose = "write term"
	readLease          purpose = "read lease"
	dropLease          purpose = "drop lease"
	readTerm           purpose = "read term"
)
