package updates

import "redwingsill/core/record"

// entry is the encoding of one entry of the store or its removal.
type entry struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	IsRemoved bool `json:",omitempty"`
}

func newEntry(r record.Record) entry {
	return entry{Key: r.Key, Value: r.Value, Revision: r.Revision, IsRemoved: r.IsRemoved}
}

func (e entry) record() record.Record {
	return record.Record{Key: e.Key, Value: e.Value, Revision: e.Revision, IsRemoved: e.IsRemoved}
}
