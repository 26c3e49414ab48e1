package operator

// keyExplanation says which backend server owns a key and why, and which host holds the lease on that server.
type keyExplanation struct {
	Service  string
	Key      string
	HashSlot int `json:"Slot"`
	// DataCentre is the home data centre of the hash slot. Owner and LeaseHolder are empty if that is not the data
	// centre of the host that responds.
	DataCentre string
	Owner      string
	// Generation is that of the key's ownership, not of a lease. Term and Version identify the assignment.
	Generation  int64
	Term        int64
	Version     int64
	LeaseHolder string `json:"Steward"`
	// IsHotKey is set if the key has an owner of its own, apart from its hash slot.
	IsHotKey bool
	Reason   string `json:"Why"`
}
