package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/directory"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
	"redwingsill/io/relay"
	"redwingsill/io/watch"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

// host is an entry host that watches the store through a relay.
type host struct {
	name      string
	relay     *relay.Relay
	stop      func()
	revisions *rcu.Value[map[string]int64]
}

// Apply implements watch.Sink. It panics if the revision of a key decreases.
func (h *host) Apply(changes []record.Record, _ int64, _ bool) {
	for _, c := range changes {
		h.revisions.Update(func(old map[string]int64) map[string]int64 {
			next := map[string]int64{}
			for k, v := range old {
				next[k] = v
			}
			if next[c.Key] > c.Revision {
				panic(fmt.Sprint(h.name, " received an older revision of ", c.Key))
			}
			next[c.Key] = c.Revision
			return next
		})
	}
}

// Lost implements watch.Sink.
func (h *host) Lost() {}

// revisionOf returns a function that reads the last revision of a key that the host received, or 0.
func (h *host) revisionOf(key string) func() int64 {
	return func() int64 { return (*h.revisions.Read())[key] }
}

// deployment is a store and the hosts of one data centre, ordered by their rank as relaying hosts.
type deployment struct {
	store   *store
	network *network
	hosts   []*host
	// directory has the hosts.
	directory *rcu.Value[directory.Directory]
}

// newDeployment starts n hosts and waits until each of them receives changes.
func newDeployment(n int) *deployment {
	d := &deployment{store: newStore(), network: newNetwork()}
	hosts := rcu.New(directory.Directory{})
	d.directory = hosts
	for i := range n {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		hosts.Update(func(old directory.Directory) directory.Directory {
			return old.With(fmt.Sprint("h", i), address, "a", 1)
		})
	}
	for _, ranked := range hosts.Read().TopRanked("news/a", n, func(string) bool { return false }) {
		h := &host{name: ranked.Name, revisions: rcu.New(map[string]int64{})}
		h.relay = relay.New(ranked.Name, "a", map[string]time.Duration{"p/": 0}, d.store.viewOf(ranked.Name), d.network, hosts,
			time.Now, slog.New(slog.DiscardHandler))
		d.network.add(ranked.Name, ranked.Address, h.relay)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			watch.New("p/", h.relay, 400*time.Millisecond, h, slog.New(slog.DiscardHandler)).Run(ctx)
		}()
		h.stop = func() {
			cancel()
			<-stopped
		}
		DeferCleanup(h.stop)
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		d.put("p/start")
		Eventually(h.revisionOf("p/start"), "3s").ShouldNot(BeZero())
	}
	return d
}

func (d *deployment) put(key string) int64 { return d.store.put(key) }

// expectChange writes a change and requires that the hosts apply it within the timeout.
func (d *deployment) expectChange(timeout time.Duration, hosts ...*host) {
	want := d.put("p/x")
	for _, h := range hosts {
		Eventually(h.revisionOf("p/x"), timeout, "5ms").Should(BeNumerically(">=", want), h.name)
	}
}

var _ = Describe("hosts of a data centre", func() {
	It("let the top-ranked host read the store, and receive each change within 200 ms", func() {
		d := newDeployment(6)
		d.store.resetCounts()
		for range 5 {
			d.expectChange(200*time.Millisecond, d.hosts...)
		}
		for _, h := range d.hosts[1:] {
			Expect(d.store.callsOf(h.name)).To(BeZero(), h.name)
		}
		Expect(d.store.callsOf(d.hosts[0].name)).To(BeNumerically("<", 12))
	})

	It("ask the second-ranked host when the top-ranked one is down, and read the store themselves when both are", func() {
		d := newDeployment(5)
		d.network.disconnect(d.hosts[0].name)
		d.expectChange(1500*time.Millisecond, d.hosts[1:]...)
		d.network.disconnect(d.hosts[1].name)
		d.expectChange(1500*time.Millisecond, d.hosts[2:]...)
	})

	It("ask the second-ranked host when the top-ranked one stops responding", func() {
		d := newDeployment(4)
		d.network.mute(d.hosts[0].name)
		d.expectChange(1800*time.Millisecond, d.hosts[1:]...)
	})

	It("ask the second-ranked host when the store is down for the top-ranked one", func() {
		d := newDeployment(4)
		d.store.setDownFor(d.hosts[0].name)
		d.expectChange(1800*time.Millisecond, d.hosts[1:]...)
	})

	It("rarely call the store while it is down, unless they are relaying hosts, and receive changes after it recovers", func() {
		d := newDeployment(8)
		for _, h := range d.hosts {
			d.store.setDownFor(h.name)
		}
		time.Sleep(time.Second) // by now all hosts have detected that the store is down
		d.store.resetCounts()
		time.Sleep(2 * time.Second)
		for _, h := range d.hosts[2:] {
			Expect(d.store.callsOf(h.name)).To(BeNumerically("<=", 4), h.name)
		}
		d.store.clearFailures()
		d.expectChange(1800*time.Millisecond, d.hosts...)
	})

	It("relay no entries that the store has not confirmed recently", func() {
		d := newDeployment(3)
		first := d.hosts[0]
		first.stop()                        // it no longer reads the store, but still answers requests
		time.Sleep(1300 * time.Millisecond) // longer than the response to a watch counts as fresh, here 800 ms
		_, err := first.relay.Entries(context.Background(), "p/")
		Expect(err).To(HaveOccurred())
		d.expectChange(1500*time.Millisecond, d.hosts[1:]...)
	})
})
