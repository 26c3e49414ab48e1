package watch_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/watch"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Watch")
}

// response is one response of the store.
type response struct {
	records  []record.Record
	revision int64
	err      error
}

// fakeStore returns its responses in turn, and then blocks.
type fakeStore struct {
	lists   chan response
	watches chan response
	// after has the revision of each call of Watch, and stale the mayBeStale of each call of List.
	after chan int64
	stale chan bool
}

func newFakeStore(lists, watches []response) *fakeStore {
	s := &fakeStore{lists: make(chan response, 10), watches: make(chan response, 10), after: make(chan int64, 20), stale: make(chan bool, 20)}
	for _, r := range lists {
		s.lists <- r
	}
	for _, r := range watches {
		s.watches <- r
	}
	return s
}

func (s *fakeStore) List(ctx context.Context, _ string, mayBeStale bool) ([]record.Record, int64, error) {
	s.stale <- mayBeStale
	return next(ctx, s.lists)
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]record.Record, int64, error) {
	s.after <- after
	return next(ctx, s.watches)
}

func next(ctx context.Context, responses chan response) ([]record.Record, int64, error) {
	select {
	case r := <-responses:
		return r.records, r.revision, r.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// fakeSink records the calls of its methods.
type fakeSink struct {
	changes chan record.Record
	lost    chan struct{}
}

func (s *fakeSink) Apply(changes []record.Record, _ int64, _ bool) {
	for _, c := range changes {
		s.changes <- c
	}
}

func (s *fakeSink) Lost() { s.lost <- struct{}{} }

// run starts a watch of a store until the spec ends, and returns its sink.
func run(s *fakeStore) *fakeSink {
	sink := &fakeSink{changes: make(chan record.Record, 50), lost: make(chan struct{}, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		watch.New("p/", s, time.Second, sink, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-stopped
	})
	return sink
}

func put(key string, revision int64) record.Record {
	return record.Record{Key: key, Revision: revision}
}
func removed(key string, revision int64) record.Record {
	return record.Record{Key: key, Revision: revision, IsRemoved: true}
}

func newCallError(k kind.Kind) error { return failure.New("call", k, errors.New("a fault")) }

var _ = Describe("watching a prefix", func() {
	It("applies the listed entries, and then each change", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 1), put("b", 2)}, revision: 5}},
			[]response{{records: []record.Record{put("a", 6), removed("b", 7)}, revision: 7}, {revision: 9}})
		sink := run(s)
		for _, want := range []record.Record{put("a", 1), put("b", 2), put("a", 6), removed("b", 7)} {
			Eventually(sink.changes).Should(Receive(Equal(want)))
		}
		Eventually(s.after).Should(Receive(Equal(int64(5))))
		Eventually(s.after).Should(Receive(Equal(int64(7))))
		Eventually(s.after).Should(Receive(Equal(int64(9))))
	})

	It("lists again when the store has compacted its history, and applies the removals that it missed", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 1), put("b", 2)}, revision: 5}, {records: []record.Record{put("b", 30)}, revision: 40}},
			[]response{{err: newCallError(kind.NotFound)}})
		sink := run(s)
		for _, want := range []record.Record{put("a", 1), put("b", 2), put("b", 30), removed("a", 40)} {
			Eventually(sink.changes).Should(Receive(Equal(want)))
		}
	})

	It("continues at the same revision after a failure, and reports successive failures once", func() {
		s := newFakeStore([]response{{revision: 5}}, []response{{err: newCallError(kind.Unavailable)}, {err: newCallError(kind.Unavailable)}, {records: []record.Record{put("a", 6)}, revision: 6}})
		sink := run(s)
		Eventually(sink.changes, 3*time.Second).Should(Receive(Equal(put("a", 6))))
		Expect(sink.lost).To(HaveLen(1))
	})

	It("never applies an older revision of an entry", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 9)}, revision: 10}, {records: []record.Record{put("a", 3)}, revision: 4}},
			[]response{{err: newCallError(kind.NotFound)}, {records: []record.Record{put("a", 8)}, revision: 8}, {records: []record.Record{put("c", 11)}, revision: 11}})
		sink := run(s)
		Eventually(sink.changes, 3*time.Second).Should(Receive(Equal(put("a", 9))))
		Eventually(sink.changes, 3*time.Second).Should(Receive(Equal(put("c", 11))))
	})
})

var _ = It("a watch allows a stale list the first time only, and does not restore a removed entry", func() {
	s := newFakeStore([]response{{records: []record.Record{put("a", 1)}, revision: 5}, {revision: 9}, {records: []record.Record{put("a", 1)}, revision: 6}, {records: []record.Record{put("a", 12)}, revision: 12}},
		[]response{{err: newCallError(kind.NotFound)}, {err: newCallError(kind.NotFound)}, {err: newCallError(kind.NotFound)}})
	sink := run(s)
	for _, want := range []record.Record{put("a", 1), removed("a", 9), put("a", 12)} {
		Eventually(sink.changes, 3*time.Second).Should(Receive(Equal(want)))
	}
	Expect(<-s.stale).To(BeTrue())
	Expect(<-s.stale).To(BeFalse())
})
