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

// host is one entry host that follows the store.
type host struct {
	name   string
	relay  *relay.Relay
	stop   func()
	values *rcu.Value[map[string]int64]
}

// Apply implements watch.Sink. A value that goes back is a fault.
func (h *host) Apply(changes []record.Record, _ int64, _ bool) {
	for _, c := range changes {
		h.values.Update(func(old map[string]int64) map[string]int64 {
			next := map[string]int64{}
			for k, v := range old {
				next[k] = v
			}
			if next[c.Key] > c.Revision {
				panic(fmt.Sprint(h.name, " goes back on ", c.Key))
			}
			next[c.Key] = c.Revision
			return next
		})
	}
}

// Lost implements watch.Sink.
func (h *host) Lost() {}

func (h *host) sees(key string) func() int64 {
	return func() int64 { return (*h.values.Read())[key] }
}

// deployment is hosts of one data centre, in the order in which they read the store.
type deployment struct {
	store *store
	wires *wires
	hosts []*host
}

func newDeployment(n int) *deployment {
	d := &deployment{store: newStore(), wires: newWires()}
	hosts := rcu.New(directory.Directory{})
	for i := range n {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		hosts.Update(func(old directory.Directory) directory.Directory { return old.With(fmt.Sprint("h", i), at, "a", 1) })
	}
	for _, one := range hosts.Read().TopRanked("news/a", n, func(string) bool { return false }) {
		h := &host{name: one.Name, values: rcu.New(map[string]int64{})}
		h.relay = relay.New(one.Name, "a", map[string]time.Duration{"p/": 0}, d.store.of(one.Name), d.wires, hosts,
			time.Now, slog.New(slog.DiscardHandler))
		d.wires.add(one.Name, one.Address, h.relay)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			watch.New("p/", h.relay, 400*time.Millisecond, h, slog.New(slog.DiscardHandler)).Run(ctx)
		}()
		h.stop = func() {
			cancel()
			<-ended
		}
		DeferCleanup(h.stop)
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		d.put("p/start")
		Eventually(h.sees("p/start"), "3s").ShouldNot(BeZero())
	}
	return d
}

func (d *deployment) put(key string) int64 { return d.store.put(key) }

// expect requires that a change is seen by some hosts within a time.
func (d *deployment) expect(within time.Duration, hosts ...*host) {
	want := d.put("p/x")
	for _, h := range hosts {
		Eventually(h.sees("p/x"), within, "5ms").Should(BeNumerically(">=", want), h.name)
	}
}

var _ = Describe("hosts of a data centre", func() {
	It("let the first one read the store, and hear of each change at once", func() {
		d := newDeployment(6)
		d.store.reset()
		for range 5 {
			d.expect(200*time.Millisecond, d.hosts...)
		}
		for _, h := range d.hosts[1:] {
			Expect(d.store.calls(h.name)).To(BeZero(), h.name)
		}
		Expect(d.store.calls(d.hosts[0].name)).To(BeNumerically("<", 12))
	})

	It("ask the next one when the first is gone, and read the store themselves when both are", func() {
		d := newDeployment(5)
		d.wires.cut(d.hosts[0].name)
		d.expect(1500*time.Millisecond, d.hosts[1:]...)
		d.wires.cut(d.hosts[1].name)
		d.expect(1500*time.Millisecond, d.hosts[2:]...)
	})

	It("ask the next one when the first falls silent", func() {
		d := newDeployment(4)
		d.wires.silence(d.hosts[0].name)
		d.expect(1800*time.Millisecond, d.hosts[1:]...)
	})

	It("ask the next one when the store turns the first away", func() {
		d := newDeployment(4)
		d.store.setDown(d.hosts[0].name)
		d.expect(1800*time.Millisecond, d.hosts[1:]...)
	})

	It("leave the store to those who read it for others while it is down, and hear of its return", func() {
		d := newDeployment(8)
		for _, h := range d.hosts {
			d.store.setDown(h.name)
		}
		time.Sleep(time.Second) // by now all have noticed
		d.store.reset()
		time.Sleep(2 * time.Second)
		for _, h := range d.hosts[2:] {
			Expect(d.store.calls(h.name)).To(BeNumerically("<=", 4), h.name)
		}
		d.store.setUp()
		d.expect(1800*time.Millisecond, d.hosts...)
	})

	It("tell nothing that the store has not confirmed lately", func() {
		d := newDeployment(3)
		first := d.hosts[0]
		first.stop() // as if it was frozen: it reads nothing, but still answers
		time.Sleep(1300 * time.Millisecond)
		_, err := first.relay.Entries(context.Background(), "p/")
		Expect(err).To(HaveOccurred())
		d.expect(1500*time.Millisecond, d.hosts[1:]...)
	})
})
