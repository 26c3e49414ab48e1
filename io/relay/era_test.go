package relay_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/directory"
	"redwingsill/core/era"
	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
	"redwingsill/core/update"
	"redwingsill/io/relay"
)

var _ = Describe("hosts that relay a store that comes back from an older copy", func() {
	It("all read the new era, and never an older revision", func() {
		d := newDeployment(4)
		d.store.put("p/kept")
		lost := d.store.put("p/lost")
		for _, h := range d.hosts {
			Eventually(h.revisionOf("p/lost"), "2s").Should(Equal(lost))
		}
		d.store.returnToCopy("p/lost")
		again := d.store.put("p/again")
		for _, h := range d.hosts {
			Eventually(h.revisionOf("p/again"), "3s").Should(Equal(again), h.name)
			Expect(era.Of(h.revisionOf("p/kept")())).To(BeEquivalentTo(1), h.name)
		}
	})

	// A host that knows the new era would otherwise take entries of the era before for the current ones.
	It("get nothing of the era before from a host that does not reach the store", func() {
		d := newDeployment(2)
		before := d.store.put("p/a")
		Eventually(d.hosts[1].revisionOf("p/a"), "2s").Should(Equal(before))
		relaying := d.hosts[0]
		d.store.setDownFor(relaying.name)
		d.store.returnToCopy("p/none")
		after := era.Era(1).Position(5)
		for range 10 {
			_, err := relaying.relay.Changes(context.Background(), "p/", after, 10*time.Millisecond)
			Expect(kind.Is(err, kind.Unavailable)).To(BeTrue(), "changes after a revision of the new era")
			_, err = relaying.relay.Entries(context.Background(), "p/")
			Expect(kind.Is(err, kind.Unavailable)).To(BeTrue(), "entries")
		}
		written := d.store.put("p/b")
		Eventually(d.hosts[1].revisionOf("p/b"), "4s").Should(Equal(written))
		d.store.clearFailures()
		Eventually(relaying.revisionOf("p/b"), "4s").Should(Equal(written))
	})
})

// blockingStore answers each list with an entry of an era, and a watch only at the end of its context. The era that it knows is known.
type blockingStore struct {
	listed era.Era
	known  atomic.Int64
}

func (s *blockingStore) List(context.Context, string, bool) ([]record.Record, int64, error) {
	return []record.Record{{Key: "p/own", Revision: s.listed.Position(5)}}, s.listed.Position(5), nil
}

func (s *blockingStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]record.Record, int64, error) {
	<-ctx.Done()
	return nil, 0, failure.New("watch", kind.Unavailable, ctx.Err())
}

func (s *blockingStore) Era() era.Era { return era.Era(s.known.Load()) }

func (s *blockingStore) ObserveEra(seen era.Era) { s.known.Store(max(s.known.Load(), int64(seen))) }

// peersOfEra is a relaying host whose entries are of an era.
type peersOfEra era.Era

func (p peersOfEra) Entries(context.Context, netip.AddrPort, string) (update.Update, error) {
	return update.Update{Records: []record.Record{{Key: "p/relayed", Revision: era.Era(p).Position(7)}}, Revision: era.Era(p).Position(7)}, nil
}

func (p peersOfEra) Changes(ctx context.Context, host netip.AddrPort, prefix string, _ int64, _ time.Duration) (update.Update, error) {
	return p.Entries(ctx, host, prefix)
}

// newBlockingRelay returns the relay of the host that the other one of its data centre relays to, or of the latter.
func newBlockingRelay(isRelaying bool, s *blockingStore, peers relay.Peers) *relay.Relay {
	hosts := directory.Directory{}.With("a", netip.MustParseAddrPort("127.0.0.1:1"), "dc", 1).With("b", netip.MustParseAddrPort("127.0.0.1:2"), "dc", 1)
	top := hosts.TopRanked("news/dc", 2, func(string) bool { return false })
	name := top[1].Name
	if isRelaying {
		name = top[0].Name
	}
	return relay.New(name, "dc", map[string]time.Duration{"p/": 0}, s, peers, rcu.New(hosts), time.Now, slog.New(slog.DiscardHandler))
}

var _ = Describe("a host and one that relays to it, in different eras of the store", func() {
	It("serves fresh entries only until it hears of a newer era", func() {
		r := newBlockingRelay(true, &blockingStore{}, peersOfEra(0))
		_, after, err := r.List(context.Background(), "p/", false)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Entries(context.Background(), "p/")
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Changes(context.Background(), "p/", era.Era(1).Position(5), time.Millisecond)
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		_, err = r.Entries(context.Background(), "p/")
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		_, _, err = r.Watch(context.Background(), "p/", after, time.Millisecond)
		Expect(kind.Is(err, kind.NotFound)).To(BeTrue(), "its own watch must list again")
	})

	It("uses no relayed entries of an older era, and learns of a newer one", func() {
		s := &blockingStore{listed: 1}
		s.known.Store(1)
		r := newBlockingRelay(false, s, peersOfEra(0))
		listed, _, err := r.List(context.Background(), "p/", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].Key).To(Equal("p/own"))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		changes, _, err := newBlockingRelay(false, s, peersOfEra(0)).Watch(ctx, "p/", era.Era(1).Position(5), time.Millisecond)
		Expect(err).To(HaveOccurred())
		Expect(changes).To(BeEmpty())
		r = newBlockingRelay(false, s, peersOfEra(2))
		listed, _, err = r.List(context.Background(), "p/", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].Key).To(Equal("p/relayed"))
		Expect(s.Era()).To(BeEquivalentTo(2))
	})
})
