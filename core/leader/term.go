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

// rewriteTerm writes the members that are declared now into the record of the term: beside the old ones first, and
// alone once a majority of both has followed since.
func (a Leader) rewriteTerm(e event.KeyRead, now time.Time) (Leader, []effect.Effect) {
	var record termrecord.TermRecord
	desired := quorum.Quorums{}.With(a.entryHosts())
	if err := json.Unmarshal(e.Value, &record); err != nil || len(a.entryHosts()) == 0 ||
		record.Term > a.term || record.Term+termrecord.Block <= a.term {
		return a, nil
	}
	switch {
	case !record.Quorums.Newest().Same(desired):
		record.Quorums = record.Quorums.With(desired[0])
		a.quorums, a.jointAt = record.Quorums, now
	case len(record.Quorums) == 1:
		a.quorums = desired
		return a, nil
	case !record.Quorums.Same(a.quorums):
		a.quorums, a.jointAt = record.Quorums, now
		return a, nil
	case !a.Since(now).After(a.jointAt):
		return a, nil
	default:
		record.Quorums = desired
	}
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	a.sequence++
	a.pending = maps.Clone(a.pending)
	a.pending[a.sequence] = writeTerm
	return a, []effect.Effect{effect.WriteKey{ID: a.sequence, Key: a.key(platformkey.Term), Value: value, ExpectedRevision: e.Revision}}
}
