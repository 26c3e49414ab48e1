// Package leaderrecord defines the value of a group's store lease.
package leaderrecord

// LeaderRecord identifies the holder of a group's store lease, an expiring key in the platform's store that the leader
// or a candidate holds.
type LeaderRecord struct {
	// Holder is the name of the entry host.
	Holder string
	// Incarnation identifies the start of the host's process.
	Incarnation int64
}
