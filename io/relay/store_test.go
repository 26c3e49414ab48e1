package relay_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/record"
)

// store is a key-value store that counts each host's calls and can fail for single hosts.
type store struct {
	mu       sync.Mutex
	revision int64
	era      era.Era
	items    map[string]record.Record
	changed  chan struct{}
	counts   map[string]int
	down     map[string]bool
}

func newStore() *store {
	return &store{items: map[string]record.Record{}, changed: make(chan struct{}), counts: map[string]int{}, down: map[string]bool{}}
}

// put writes a key and returns its revision.
func (s *store) put(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = record.Record{Key: key, Revision: s.era.Position(s.revision)}
	s.notify()
	return s.era.Position(s.revision)
}

// notify wakes the watches.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) resetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = map[string]int{}
}

func (s *store) callsOf(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[host]
}

// setDownFor makes all calls of a host fail until clearFailures is called.
func (s *store) setDownFor(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[host] = true
	s.notify()
}

// clearFailures ends the failures of all hosts.
func (s *store) clearFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = map[string]bool{}
}

// viewOf returns the store as seen by one host.
func (s *store) viewOf(host string) *view { return &view{store: s, host: host} }

// view is the store as seen by one host. It implements relay.Store.
type view struct {
	store *store
	host  string
	// era is the newest era that the host knows.
	era atomic.Int64
}

// returnToCopy removes a key, as it was written after the copy, and starts the next era with a lower revision.
func (s *store) returnToCopy(lost string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision--
	delete(s.items, lost)
	for key, r := range s.items {
		r.Revision = s.era.Position(era.Revision(r.Revision))
		s.items[key] = r
	}
	s.notify()
}

// Era implements relay.Store.
func (v *view) Era() era.Era { return era.Era(v.era.Load()) }

// ObserveEra implements relay.Store.
func (v *view) ObserveEra(seen era.Era) {
	for known := v.era.Load(); int64(seen) > known && !v.era.CompareAndSwap(known, int64(seen)); known = v.era.Load() {
	}
}

// read returns the entries that changed after a revision, the store's revision, and a channel that is closed at the
// next change.
func (v *view) read(after int64) ([]record.Record, int64, chan struct{}, error) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	if v.store.down[v.host] {
		return nil, 0, nil, failure.New("read", kind.Unavailable, errors.New("the store is down for this host"))
	}
	v.ObserveEra(v.store.era)
	if after != 0 && era.Of(after) < v.store.era {
		return nil, 0, nil, failure.New("read", kind.NotFound, errors.New("the revision is of another era"))
	}
	var found []record.Record
	for _, r := range v.store.items {
		if r.Revision > after {
			found = append(found, r)
		}
	}
	return found, v.store.era.Position(v.store.revision), v.store.changed, nil
}

func (v *view) count() {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.store.counts[v.host]++
}

// List implements watch.Store.
func (v *view) List(context.Context, string, bool) ([]record.Record, int64, error) {
	v.count()
	found, revision, _, err := v.read(0)
	return found, revision, err
}

// Watch implements watch.Store.
func (v *view) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]record.Record, int64, error) {
	v.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, revision, changed, err := v.read(after)
		if err != nil || len(found) > 0 {
			return found, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, failure.New("watch", kind.Unavailable, ctx.Err())
		}
	}
}
