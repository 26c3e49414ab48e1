package operator

import "strconv"

// statusAnswer is what a host has in force.
type statusAnswer struct {
	Host              string
	DataCentre        string
	IsReady           bool
	IsLeaving         bool
	Revision          int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewVersion       int64
	Term              int64
	Arbiter           string
	IsArbiter         bool
	ArbiterHeard      string
	Permits           []string
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
