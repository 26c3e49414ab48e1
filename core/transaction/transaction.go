// Package transaction holds conditional writes to a key-value store.
package transaction

import (
	"maps"

	"redwingsill/core/record"
)

// Transaction is a set of writes that are applied atomically if all conditions hold. It is immutable. The zero value
// writes nothing.
type Transaction struct {
	// Expected maps each key to the revision that it must have; 0 means that the key must not exist.
	Expected map[string]int64
	Puts     []record.Record
	Deletes  []string
}

// WithExpected returns the transaction with the condition that a key has a revision.
func (t Transaction) WithExpected(key string, revision int64) Transaction {
	next := make(map[string]int64, len(t.Expected)+1)
	maps.Copy(next, t.Expected)
	next[key] = revision
	t.Expected = next
	return t
}

// WithPut returns the transaction with a write of a key, attached to the store lease with the given ID unless that is 0.
func (t Transaction) WithPut(key string, value []byte, lease int64) Transaction {
	t.Puts = append(t.Puts[:len(t.Puts):len(t.Puts)], record.Record{Key: key, Value: value, Lease: lease})
	return t
}

// WithDelete returns the transaction with the removal of a key.
func (t Transaction) WithDelete(key string) Transaction {
	t.Deletes = append(t.Deletes[:len(t.Deletes):len(t.Deletes)], key)
	return t
}
