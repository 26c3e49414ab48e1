// Package leaderrecord defines the value of a group's store lease.
package leaderrecord

// LeaderRecord names the holder of a group's store lease.
type LeaderRecord struct {
	// Holder is the name of the host, and Incarnation tells its starts apart.
	Holder      string
	Incarnation int64
}
