package operator

// statusResponse is the state of an entry host: the versions of its shared state, its leader and the leases that it
// holds.
type statusResponse struct {
	Host       string
	DataCentre string
	IsReady    bool
	IsLeaving  bool
	// Revision is the revision of the configuration in force.
	Revision          int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewVersion       int64
	// Term is the term of the leader that the host follows.
	Term     int64
	Leader   string `json:"Arbiter"`
	IsLeader bool   `json:"IsArbiter"`
	// LeaderHeartbeatAge is the time since the last heartbeat of the leader in Go's duration format, or empty if there
	// was none.
	LeaderHeartbeatAge string `json:"ArbiterHeard"`
	// LeasedServers are the backend servers on which the host holds a valid lease.
	LeasedServers []string `json:"Permits"`
}
