package operator

// keyExplanation says which backend server owns a key, why, and which host holds the server's lease.
type keyExplanation struct {
	Service     string
	Key         string
	Slot        int
	DataCentre  string
	Owner       string
	Generation  int64
	Term        int64
	Version     int64
	LeaseHolder string `json:"Steward"`
	IsHotKey    bool
	Reason      string `json:"Why"`
}
