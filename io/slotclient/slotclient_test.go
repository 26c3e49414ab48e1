package slotclient_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/directory"
	"redwingsill/core/instance"
	"redwingsill/core/placement"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
	"redwingsill/io/datagram"
	"redwingsill/io/slotclient"
	"redwingsill/io/slotserver"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "SlotClient")
}

func noContact() reachability.Reachability { return reachability.Reachability{} }

// host is one entry host's dispatch.
type host struct {
	name     string
	address  netip.AddrPort
	desk     *slotserver.SlotServer
	dispatch *slotclient.SlotClient
	isOpen   atomic.Bool
	stop     func()
}

// newHosts starts hosts that know each other, and of which each knows one server with two slots.
func newHosts(n int) []*host {
	hosts := rcu.New(directory.Directory{})
	var all []*host
	for i := range n {
		h := &host{name: fmt.Sprintf("h%d", i), address: free(), desk: slotserver.New(time.Now)}
		h.isOpen.Store(true)
		socket, clean, err := datagram.New(h.address.String(), time.Now)
		Expect(err).NotTo(HaveOccurred())
		h.dispatch = slotclient.New(h.name, uint32(i+1), h.isOpen.Load, noContact, h.desk, socket, hosts, time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.dispatch.Receive(ctx)
		}()
		var once atomic.Bool
		h.stop = func() {
			if once.CompareAndSwap(false, true) {
				cancel()
				<-ended
				clean()
			}
		}
		DeferCleanup(h.stop)
		hosts.Update(func(d directory.Directory) directory.Directory { return d.With(h.name, h.address, "ilo", 1) })
		h.desk.SetService("s", false, []instance.Instance{{ID: "x", Service: "s", DataCentre: "ilo", Slots: 2}})
		all = append(all, h)
	}
	// The first in the order of the service comes first.
	first := hosts.Read().TopRanked("s", 1, func(string) bool { return false })[0].Name
	for i, h := range all {
		if h.name == first {
			all[0], all[i] = all[i], all[0]
		}
	}
	return all
}

func free() netip.AddrPort {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

func (h *host) place(patience time.Duration) (slotclient.Slot, placement.Placement) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return h.dispatch.Place(ctx, slotrequest.SlotRequest{DataCentre: "ilo", Service: "s", Key: slotrequest.NoKey, IsIdempotent: true,
		Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Hour)})
}

func (h *host) running() int { return h.desk.Pool("s").Running() }

var _ = Describe("asking for a slot", func() {
	It("asks the service's first host, and gives the slot back there", func() {
		all := newHosts(3)
		slot, placed := all[1].place(time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(instance.IDOf(slot.Life)).To(Equal("x"))
		Expect(all[0].running()).To(Equal(1))
		slot.Done(attemptresult.AttemptResult{Incarnation: slot.Life, Status: attemptresult.Answered, Duration: time.Millisecond, Running: -1})
		Eventually(all[0].running).Should(BeZero())
	})

	It("never gives out more slots than there are, whoever asks", func() {
		all := newHosts(3)
		for _, h := range all[:2] {
			_, placed := h.place(time.Second)
			Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		}
		_, placed := all[2].place(200 * time.Millisecond)
		Expect(placed).To(BeAssignableToTypeOf(placement.Refuse{}))
		Eventually(func() int { return all[0].desk.Pool("s").Waiting() }).Should(BeZero())
	})

	It("waits until a slot is free", func() {
		all := newHosts(2)
		slot, _ := all[1].place(time.Second)
		all[1].place(time.Second)
		time.AfterFunc(600*time.Millisecond, func() {
			slot.Done(attemptresult.AttemptResult{Incarnation: slot.Life, Status: attemptresult.Answered, Duration: time.Millisecond, Running: -1})
		})
		_, placed := all[1].place(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
	})

	It("asks the next host when the first one is gone, and leaves that alone from then on", func() {
		all := newHosts(3)
		all[0].stop()
		began := time.Now()
		_, placed := all[1].place(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(began)).To(BeNumerically(">", 200*time.Millisecond))
		Expect(all[1].dispatch.IsSilent(all[0].name)).To(BeTrue())
		began = time.Now()
		_, placed = all[1].place(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("asks the next host at once when the first one declines", func() {
		all := newHosts(3)
		all[0].isOpen.Store(false)
		began := time.Now()
		_, placed := all[1].place(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("takes a host in again that answers a ping", func() {
		all := newHosts(2)
		all[0].isOpen.Store(true)
		all[0].stop()
		all[1].place(time.Second)
		Expect(all[1].dispatch.Silent()).To(Equal(1))
		socket, clean, err := datagram.New(all[0].address.String(), time.Now)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		back := slotclient.New(all[0].name, 9, func() bool { return true }, noContact, slotserver.New(time.Now), socket, rcu.New(directory.Directory{}), time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go back.Receive(ctx)
		time.Sleep(350 * time.Millisecond)
		all[1].dispatch.Tick([]string{"s"})
		Eventually(all[1].dispatch.Silent).Should(BeZero())
	})

	It("frees a slot whose report was lost", func() {
		all := newHosts(2)
		slot, _ := all[1].place(time.Second)
		_ = slot // its report never goes out
		Expect(all[0].running()).To(Equal(1))
		time.Sleep(1100 * time.Millisecond)
		all[0].desk.Held("s", 1, nil, time.Now().Add(-time.Second))
		all[0].desk.Held("s", 2, nil, time.Now().Add(-time.Second))
		Expect(all[0].running()).To(BeZero())
	})
})
