// Package termrecord holds the durable record of a cell's newest arbiter.
package termrecord

import "redwingsill/core/quorum"

// Block is the number of terms that a record reserves: its own, and one for each successor while the platform is out.
const TermsPerRecord = 64

// TermRecord is the newest term of a cell and the members that must agree on the next.
type TermRecord struct {
	Term    int64
	Holder  string
	WriteID string
	Quorums quorum.Quorums
}

// Next returns the record of the next term.
func (t TermRecord) Next(holder, writeID string, members []string) TermRecord {
	return TermRecord{Term: t.Term + TermsPerRecord, Holder: holder, WriteID: writeID, Quorums: t.Quorums.WithMembers(members)}
}
