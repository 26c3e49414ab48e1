// Package leaserecord holds what an arbiter writes under its lease.
package leaserecord

// LeaseRecord names the holder of a cell's lease.
type LeaseRecord struct {
	Holder      string
	Incarnation int64
}
