// Package transaction holds a change of a key-value store under conditions.
package transaction

import (
	"maps"

	"redwingsill/core/record"
)

// Transaction is changes of which all are made or none. It is immutable. The zero value changes nothing.
type Transaction struct {
	// Expected gives the revision that each key must have; 0 means that it must not exist.
	Expected map[string]int64
	Puts     []record.Record
	Deletes  []string
}

// WithExpected returns the transaction on condition that a key has a revision.
func (t Transaction) WithExpected(key string, revision int64) Transaction {
	next := make(map[string]int64, len(t.Expected)+1)
	maps.Copy(next, t.Expected)
	next[key] = revision
	t.Expected = next
	return t
}

// WithPut returns the transaction that also writes a key, with a lease unless that is 0.
func (t Transaction) WithPut(key string, value []byte, lease int64) Transaction {
	t.Puts = append(t.Puts[:len(t.Puts):len(t.Puts)], record.Record{Key: key, Value: value, Lease: lease})
	return t
}

// WithDelete returns the transaction that also removes a key.
func (t Transaction) WithDelete(key string) Transaction {
	t.Deletes = append(t.Deletes[:len(t.Deletes):len(t.Deletes)], key)
	return t
}
