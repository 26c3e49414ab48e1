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

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Follow")
}

// page is one answer of the store.
type page struct {
	records []record.Record
	at      int64
	err     error
}

// script is a store that gives its answers in turn, and then waits.
type script struct {
	lists   chan page
	watches chan page
	// after has where each watch began.
	after chan int64
	stale chan bool
}

func newScript(lists, watches []page) *script {
	s := &script{lists: make(chan page, 10), watches: make(chan page, 10), after: make(chan int64, 20), stale: make(chan bool, 20)}
	for _, p := range lists {
		s.lists <- p
	}
	for _, p := range watches {
		s.watches <- p
	}
	return s
}

func (s *script) List(ctx context.Context, _ string, mayBeStale bool) ([]record.Record, int64, error) {
	s.stale <- mayBeStale
	return next(ctx, s.lists)
}

func (s *script) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]record.Record, int64, error) {
	s.after <- after
	return next(ctx, s.watches)
}

func next(ctx context.Context, pages chan page) ([]record.Record, int64, error) {
	select {
	case p := <-pages:
		return p.records, p.at, p.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// sink keeps what it was told.
type sink struct {
	changes chan record.Record
	lost    chan struct{}
}

func (s *sink) Apply(changes []record.Record, _ int64, _ bool) {
	for _, c := range changes {
		s.changes <- c
	}
}

func (s *sink) Lost() { s.lost <- struct{}{} }

func run(s *script) *sink {
	k := &sink{changes: make(chan record.Record, 50), lost: make(chan struct{}, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watch.New("p/", s, time.Second, k, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return k
}

func put(key string, revision int64) record.Record {
	return record.Record{Key: key, Revision: revision}
}
func gone(key string, revision int64) record.Record {
	return record.Record{Key: key, Revision: revision, IsRemoved: true}
}

func failed(k kind.Kind) error { return failure.New("call", k, errors.New("a fault")) }

var _ = Describe("following by watch", func() {
	It("tells what is there, and then each change", func() {
		s := newScript([]page{{records: []record.Record{put("a", 1), put("b", 2)}, at: 5}},
			[]page{{records: []record.Record{put("a", 6), gone("b", 7)}, at: 7}, {at: 9}})
		k := run(s)
		for _, want := range []record.Record{put("a", 1), put("b", 2), put("a", 6), gone("b", 7)} {
			Eventually(k.changes).Should(Receive(Equal(want)))
		}
		Eventually(s.after).Should(Receive(Equal(int64(5))))
		Eventually(s.after).Should(Receive(Equal(int64(7))))
		Eventually(s.after).Should(Receive(Equal(int64(9))))
	})

	It("lists again when the history is gone, and tells what went meanwhile", func() {
		s := newScript([]page{{records: []record.Record{put("a", 1), put("b", 2)}, at: 5}, {records: []record.Record{put("b", 30)}, at: 40}},
			[]page{{err: failed(kind.NotFound)}})
		k := run(s)
		for _, want := range []record.Record{put("a", 1), put("b", 2), put("b", 30), gone("a", 40)} {
			Eventually(k.changes).Should(Receive(Equal(want)))
		}
	})

	It("goes on at the same place after a failure, and tells the loss once", func() {
		s := newScript([]page{{at: 5}}, []page{{err: failed(kind.Unavailable)}, {err: failed(kind.Unavailable)}, {records: []record.Record{put("a", 6)}, at: 6}})
		k := run(s)
		Eventually(k.changes, 3*time.Second).Should(Receive(Equal(put("a", 6))))
		Expect(k.lost).To(HaveLen(1))
	})

	It("never goes back to an older revision", func() {
		s := newScript([]page{{records: []record.Record{put("a", 9)}, at: 10}, {records: []record.Record{put("a", 3)}, at: 4}},
			[]page{{err: failed(kind.NotFound)}, {records: []record.Record{put("a", 8)}, at: 8}, {records: []record.Record{put("c", 11)}, at: 11}})
		k := run(s)
		Eventually(k.changes, 3*time.Second).Should(Receive(Equal(put("a", 9))))
		Eventually(k.changes, 3*time.Second).Should(Receive(Equal(put("c", 11))))
	})
})

var _ = It("reads what may be stale the first time only, and brings nothing back that was removed", func() {
	s := newScript([]page{{records: []record.Record{put("a", 1)}, at: 5}, {at: 9}, {records: []record.Record{put("a", 1)}, at: 6}, {records: []record.Record{put("a", 12)}, at: 12}},
		[]page{{err: failed(kind.NotFound)}, {err: failed(kind.NotFound)}, {err: failed(kind.NotFound)}})
	k := run(s)
	for _, want := range []record.Record{put("a", 1), gone("a", 9), put("a", 12)} {
		Eventually(k.changes, 3*time.Second).Should(Receive(Equal(want)))
	}
	Expect(<-s.stale).To(BeTrue())
	Expect(<-s.stale).To(BeFalse())
})
