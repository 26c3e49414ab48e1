// Package leaderrecord defines the value of a group's store lease.
package leaderrecord

// LeaderRecord names the host, and its incarnation, that holds the store lease of a group.
type LeaderRecord struct {
	Holder      string
	Incarnation int64
}
