package operator

// permitAnswer explains a permit.
type permitAnswer struct {
	Term       int64
	Generation int64
	IsValid    bool
	EndsIn     string
}
