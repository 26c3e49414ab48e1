package relay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/era"
	"redwingsill/core/kind"
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
