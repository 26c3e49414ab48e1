// Package termrecord defines the stored record of a group's newest term.
package termrecord

import "redwingsill/core/quorum"

// TermsPerRecord is the number of terms that a record reserves: the first for the candidate that writes the record, and
// one for each successor that may become the leader while the platform is unreachable.
const TermsPerRecord = 64

// TermRecord is the newest recorded term of a group and the members that elect the leader of the next.
type TermRecord struct {
	// Term is the first of the terms that the record reserves.
	Term int64
	// Holder is the candidate that reserved the terms.
	Holder string
	// WriteID identifies the write that reserved the terms.
	WriteID string
	// Quorums are the member sets that elect the leader of the next term.
	Quorums quorum.Quorums
}

// Next returns the record that reserves the next terms. The given members become its newest set of members.
func (t TermRecord) Next(holder, writeID string, members []string) TermRecord {
	return TermRecord{Term: t.Term + TermsPerRecord, Holder: holder, WriteID: writeID, Quorums: t.Quorums.WithMembers(members)}
}
