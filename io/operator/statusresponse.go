package operator

import "strconv"

// statusResponse is the state of an entry host: its configuration, its leader and the leases that it holds.
type statusResponse struct {
	Host               string
	DataCentre         string
	IsReady            bool
	IsLeaving          bool
	Revision           int64
	AssignmentTerm     int64
	AssignmentVersion  int64
	ViewVersion        int64
	Term               int64
	Leader             string   `json:"Arbiter"`
	IsLeader           bool     `json:"IsArbiter"`
	LeaderHeartbeatAge string   `json:"ArbiterHeard"`
	LeasedServers      []string `json:"Permits"`
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
