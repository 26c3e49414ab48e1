package relay_test

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/io/relay"
)

// Guards against hosts of an earlier version, or without the setting, being taken for failed because of a prefix that they don't
// watch: all hosts would then read everything from the store.
var _ = Describe("a host that watches a prefix which its relaying host doesn't watch", func() {
	It("reads that prefix from the store and gets the others relayed", func() {
		d := newDeployment(2)
		first, second := d.hosts[0], d.hosts[1]
		second.stop()
		r := relay.New(second.name, "a", map[string]time.Duration{"p/": 0, "q/": 0}, d.store.viewOf(second.name), d.network, d.directory, time.Now, slog.New(slog.DiscardHandler))
		d.store.resetCounts()
		_, revision, err := r.List(context.Background(), "q/", false)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = r.Watch(context.Background(), "q/", revision, 20*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		calls := d.store.callsOf(second.name)
		Expect(calls).To(BeNumerically(">=", 2))
		_, revision, err = r.List(context.Background(), "p/", false)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = r.Watch(context.Background(), "p/", revision, 20*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.store.callsOf(second.name)).To(Equal(calls), "the prefix that %s relays was read from the store", first.name)
	})
})
