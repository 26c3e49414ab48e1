package leader

import (
	"encoding/json"
	"maps"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/platformkey"
	"redwingsill/core/quorum"
	"redwingsill/core/termrecord"
)

// rewriteTermRecord makes the configured entry hosts the members in the term record that was read: first jointly with
// the previous members, then alone once a majority of each set has followed this leader under the joint sets. It ignores
// a record that does not reserve this leader's term.
func (l Leader) rewriteTermRecord(e event.KeyRead, now time.Time) (Leader, []effect.Effect) {
	var record termrecord.TermRecord
	desired := quorum.Quorums{}.WithMembers(l.entryHosts())
	if err := json.Unmarshal(e.Value, &record); err != nil || len(l.entryHosts()) == 0 ||
		record.Term > l.term || record.Term+termrecord.TermsPerRecord <= l.term {
		return l, nil
	}
	switch {
	case !record.Quorums.Newest().Equal(desired):
		record.Quorums = record.Quorums.WithMembers(desired[0])
		l.quorums, l.jointSince = record.Quorums, now
	case len(record.Quorums) == 1:
		l.quorums = desired
		return l, nil
	case !record.Quorums.Equal(l.quorums):
		// Use the joint sets of the record before the next step.
		l.quorums, l.jointSince = record.Quorums, now
		return l, nil
	case !l.MajoritySince(now).After(l.jointSince):
		return l, nil
	default:
		record.Quorums = desired
	}
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	l.callID++
	l.pending = maps.Clone(l.pending)
	l.pending[l.callID] = writeTerm
	return l, []effect.Effect{effect.WriteKey{ID: l.callID, Key: l.key(platformkey.Term), Value: value, ExpectedRevision: e.Revision}}
}
