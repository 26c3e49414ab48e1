package watch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/record"
)

// expectNext expects a change, and no other before it.
func (s *fakeSink) expectNext(want record.Record) {
	var got record.Record
	Eventually(s.changes).Should(Receive(&got))
	Expect(got).To(Equal(want))
}

var _ = Describe("watching a prefix of a store that comes back from an older copy", func() {
	at := era.Era(1).Position

	It("keeps an entry that the first list lacks until a grace has passed, and then removes it", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 11), put("b", 2), put("c", 12)}, revision: 20}, {records: []record.Record{put("b", at(2))}, revision: at(9)}},
			[]response{{err: newCallError(kind.NotFound)}, {records: []record.Record{put("c", at(10))}, revision: at(10)}})
		sink := run(s)
		for _, want := range []record.Record{put("a", 11), put("b", 2), put("c", 12), put("b", at(2)), put("c", at(10))} {
			sink.expectNext(want)
		}
		Consistently(sink.changes, "2s").ShouldNot(Receive())
		time.Sleep(1100 * time.Millisecond)
		s.watches <- response{revision: at(12)}
		Eventually(sink.changes).Should(Receive(Equal(removed("a", at(12)))))
		s.watches <- response{revision: at(13)}
		Consistently(sink.changes, "100ms").ShouldNot(Receive())
	})

	It("removes at once what is removed after the first list", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 11)}, revision: 20}, {revision: at(9)}},
			[]response{{err: newCallError(kind.NotFound)}, {records: []record.Record{put("a", at(10)), removed("a", at(11))}, revision: at(11)}})
		sink := run(s)
		for _, want := range []record.Record{put("a", 11), put("a", at(10)), removed("a", at(11))} {
			sink.expectNext(want)
		}
	})

	It("starts the grace again after a failure, and in the next era", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 11)}, revision: 20}, {revision: at(9)}, {revision: era.Era(2).Position(9)}},
			[]response{{err: newCallError(kind.NotFound)}})
		sink := run(s)
		Eventually(sink.changes).Should(Receive(Equal(put("a", 11))))
		time.Sleep(2 * time.Second)
		s.watches <- response{err: newCallError(kind.Unavailable)}
		time.Sleep(1500 * time.Millisecond)
		s.watches <- response{revision: at(10)}
		time.Sleep(2 * time.Second)
		s.watches <- response{err: newCallError(kind.NotFound)}
		time.Sleep(1500 * time.Millisecond)
		s.watches <- response{revision: era.Era(2).Position(10)}
		Consistently(sink.changes, "200ms").ShouldNot(Receive())
		time.Sleep(1500 * time.Millisecond)
		s.watches <- response{revision: era.Era(2).Position(11)}
		Eventually(sink.changes).Should(Receive(Equal(removed("a", era.Era(2).Position(11)))))
	})

	// A host that left in the lost seconds would be asked for ever.
	It("does not restore an entry that was removed since the copy, until it is written again", func() {
		s := newFakeStore([]response{{records: []record.Record{put("a", 5), put("b", 6)}, revision: 8}, {records: []record.Record{put("a", at(5)), put("b", at(10))}, revision: at(11)}},
			[]response{{records: []record.Record{removed("a", 9), removed("b", 10)}, revision: 10}, {err: newCallError(kind.NotFound)},
				{records: []record.Record{put("a", at(12))}, revision: at(12)}})
		sink := run(s)
		for _, want := range []record.Record{put("a", 5), put("b", 6), removed("a", 9), removed("b", 10), put("b", at(10)), put("a", at(12))} {
			sink.expectNext(want)
		}
	})
})
