package operator

// serverAnswer explains a backend server. Permit, Running and Waiting are known on its steward's host alone.
type serverAnswer struct {
	Server     string
	Service    string
	DataCentre string
	IsDown     bool
	IsLeaving  bool
	Steward    string
	Units      int
	Permit     *permitAnswer  `json:",omitempty"`
	Running    int            `json:",omitempty"`
	Waiting    map[string]int `json:",omitempty"`
}
