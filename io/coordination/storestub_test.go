package coordination

import (
	"context"
	"sync"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/core/transaction"
)

// storeStub is a key-value store in memory.
type storeStub struct {
	mu       sync.Mutex
	records  map[string]record.Record
	revision int64
	era      era.Era
	// gets and commits count the calls by key, commits by the key that is put.
	gets, commits map[string]int
	// failingGets and failingCommits are the numbers of calls that fail without an effect, and lostAnswers the number of commits
	// after those that take effect but have no answer.
	failingGets, failingCommits, lostAnswers int
}

func newStoreStub() *storeStub {
	return &storeStub{records: map[string]record.Record{}, gets: map[string]int{}, commits: map[string]int{}}
}

// put writes a key, and returns its revision.
func (s *storeStub) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records[key] = record.Record{Key: key, Value: value, Revision: s.era.Position(s.revision)}
	return s.era.Position(s.revision)
}

// Get implements Store.
func (s *storeStub) Get(_ context.Context, key string) (record.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets[key]++
	if s.failingGets > 0 {
		s.failingGets--
		return record.Record{}, storeError(kind.Unavailable)
	}
	return s.records[key], nil
}

// Commit implements Store.
func (s *storeStub) Commit(_ context.Context, t transaction.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range t.Puts {
		s.commits[r.Key]++
	}
	if s.failingCommits > 0 {
		s.failingCommits--
		return 0, storeError(kind.Unavailable)
	}
	for key, revision := range t.Expected {
		if s.records[key].Revision != revision {
			return 0, storeError(kind.Conflict)
		}
	}
	s.revision++
	for _, r := range t.Puts {
		r.Revision = s.era.Position(s.revision)
		s.records[r.Key] = r
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, storeError(kind.Unknown)
	}
	return s.era.Position(s.revision), nil
}

// returnTo replaces the contents by those of a copy, and starts the next era.
func (s *storeStub) returnTo(records map[string]record.Record, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.records = revision, map[string]record.Record{}
	for key, r := range records {
		r.Revision = s.era.Position(era.Revision(r.Revision))
		s.records[key] = r
	}
}

// CreateLease implements Store.
func (s *storeStub) CreateLease(_ context.Context, d time.Duration) (int64, time.Duration, error) {
	return s.Era().Position(1), d, nil
}

// RenewLease implements Store.
func (s *storeStub) RenewLease(context.Context, int64) error { return nil }

// RevokeLease implements Store.
func (s *storeStub) RevokeLease(context.Context, int64) error { return nil }

// Era implements Store.
func (s *storeStub) Era() era.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// ObserveEra implements Store.
func (s *storeStub) ObserveEra(era.Era) {}
