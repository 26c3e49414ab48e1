package operator

// keyAnswer explains a key.
type keyAnswer struct {
	Service    string
	Key        string
	Slot       int
	DataCentre string
	Owner      string
	Generation int64
	Term       int64
	Version    int64
	Steward    string
	IsHotKey   bool
	Why        string
}
