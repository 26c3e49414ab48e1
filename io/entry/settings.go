package entry

import "redwingsill/core/timing"

// Settings is what an entry host is told at its start.
type Settings struct {
	Name        string
	DataCentre  string
	Incarnation int64
	Timing      timing.Timing
}
