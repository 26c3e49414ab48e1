// Package leaderrecord holds what an arbiter writes under its lease.
package leaderrecord

// LeaderRecord names the holder of a cell's lease.
type LeaderRecord struct {
	Holder      string
	Incarnation int64
}
