package coordination

import (
	"context"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/record"
	"redwingsill/core/transaction"
)

// Store is the key-value store. Its errors have a kind: Unavailable if the call had no effect, Unknown if it may still
// take effect, Conflict if a condition did not hold, NotFound if the lease has expired.
type Store interface {
	// Get returns the record of a key, or a record with revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (record.Record, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, t transaction.Transaction) (int64, error)
	// CreateLease creates a lease and returns its ID and the duration that the store granted.
	CreateLease(ctx context.Context, duration time.Duration) (int64, time.Duration, error)
	// RenewLease renews a lease.
	RenewLease(ctx context.Context, leaseID int64) error
	// RevokeLease revokes a lease and removes its keys.
	RevokeLease(ctx context.Context, leaseID int64) error
	// Era returns the newest known era of the store. Revisions and lease IDs are positions in it; see [era.Era.Position].
	Era() era.Era
	// ObserveEra records an era of the store that another host has told.
	ObserveEra(seen era.Era)
}
