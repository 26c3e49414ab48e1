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

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/directory"
	"redwingsill/core/instance"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
	"redwingsill/io/datagram"
	"redwingsill/io/slotclient"
	"redwingsill/io/slotserver"
)

func TestSlotClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "SlotClient")
}

func zeroReachability() reachability.Reachability { return reachability.Reachability{} }

// host is an entry host with its slot server and its client.
type host struct {
	name            string
	address         netip.AddrPort
	slotServer      *slotserver.SlotServer
	client          *slotclient.SlotClient
	acceptsRequests atomic.Bool
	// announced receives what other hosts report that a backend server has announced.
	announced chan notification.ServerAnnounced
	stop      func()
}

// newHosts starts hosts that know each other and one backend server with two slots. The first host returned is the
// top-ranked one of the service.
func newHosts(n int) []*host {
	hosts := rcu.New(directory.Directory{})
	var all []*host
	for i := range n {
		h := &host{name: fmt.Sprintf("h%d", i), address: freeAddress(), slotServer: slotserver.New(time.Now), announced: make(chan notification.ServerAnnounced, 10)}
		h.acceptsRequests.Store(true)
		socket, closeSocket, err := datagram.New(h.address.String(), time.Now)
		Expect(err).NotTo(HaveOccurred())
		h.client = slotclient.New(h.name, uint32(i+1), h.acceptsRequests.Load, zeroReachability,
			func(_ netip.AddrPort, n notification.ServerAnnounced) { h.announced <- n }, h.slotServer, socket, hosts, time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			h.client.Receive(ctx)
		}()
		var isStopped atomic.Bool
		h.stop = func() {
			if isStopped.CompareAndSwap(false, true) {
				cancel()
				<-stopped
				closeSocket()
			}
		}
		DeferCleanup(h.stop)
		hosts.Update(func(d directory.Directory) directory.Directory { return d.With(h.name, h.address, "ilo", 1) })
		h.slotServer.SetService("s", false, []instance.Instance{{ID: "x", Service: "s", DataCentre: "ilo", Slots: 2}})
		all = append(all, h)
	}
	first := hosts.Read().TopRanked("s", 1, func(string) bool { return false })[0].Name
	for i, h := range all {
		if h.name == first {
			all[0], all[i] = all[i], all[0]
		}
	}
	return all
}

func freeAddress() netip.AddrPort {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

func (h *host) acquire(timeout time.Duration) (slotclient.Slot, placement.Placement) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.client.Acquire(ctx, slotrequest.SlotRequest{DataCentre: "ilo", Service: "s", Key: slotrequest.NoKey, IsIdempotent: true,
		Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Hour)})
}

func (h *host) running() int { return h.slotServer.Pool("s").Running() }

var _ = Describe("reports of reachability", func() {
	It("have the names of the hosts, and count for a limited time", func() {
		hosts := newHosts(3)
		hosts[0].client.RequestReachability(7)
		names := func() []string {
			var names []string
			for name, r := range hosts[0].client.Reachabilities() {
				Expect(r.CoordinatorRevision).To(Equal(int64(7)))
				Expect(time.Since(r.ReportedAt)).To(BeNumerically("<", slotclient.ReachabilityMaxAge+100*time.Millisecond))
				names = append(names, name)
			}
			return names
		}
		Eventually(names).Should(ConsistOf("h0", "h1", "h2"))
		Eventually(names).WithTimeout(2 * time.Second).Should(ConsistOf(hosts[0].name))
	})
})

var _ = Describe("acquiring a slot", func() {
	It("tells the host that gave out the slot what the server announced, with results and with unused slots", func() {
		hosts := newHosts(2)
		for _, status := range []attemptresult.Status{attemptresult.Answered, attemptresult.Unsent} {
			slot, _ := hosts[1].acquire(time.Second)
			slot.Release(attemptresult.AttemptResult{Incarnation: slot.Incarnation, Status: status, Running: -1, Waiting: -1,
				Announcement: announcement.Announcement{IsLeaving: true}})
			var got notification.ServerAnnounced
			Eventually(hosts[0].announced, "1s").Should(Receive(&got))
			Expect(got.Service).To(Equal("s"))
			Expect(got.Incarnation).To(Equal("x@0"))
			Expect(got.Announcement.IsLeaving).To(BeTrue())
			Eventually(hosts[0].running, "1s").Should(BeZero())
		}
	})

	It("asks the service's top-ranked host, and releases the slot there", func() {
		all := newHosts(3)
		slot, placed := all[1].acquire(time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(instance.IDOf(slot.Incarnation)).To(Equal("x"))
		Expect(all[0].running()).To(Equal(1))
		slot.Release(attemptresult.AttemptResult{Incarnation: slot.Incarnation, Status: attemptresult.Answered, Duration: time.Millisecond, Running: -1})
		Eventually(all[0].running).Should(BeZero())
	})

	It("never gives out more slots than there are, whichever host asks", func() {
		all := newHosts(3)
		for _, h := range all[:2] {
			_, placed := h.acquire(time.Second)
			Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		}
		_, placed := all[2].acquire(200 * time.Millisecond)
		Expect(placed).To(BeAssignableToTypeOf(placement.Refuse{}))
		Eventually(func() int { return all[0].slotServer.Pool("s").Waiting() }).Should(BeZero())
	})

	It("waits until a slot is free", func() {
		all := newHosts(2)
		slot, _ := all[1].acquire(time.Second)
		all[1].acquire(time.Second)
		time.AfterFunc(600*time.Millisecond, func() {
			slot.Release(attemptresult.AttemptResult{Incarnation: slot.Incarnation, Status: attemptresult.Answered, Duration: time.Millisecond, Running: -1})
		})
		_, placed := all[1].acquire(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
	})

	It("asks the next host when the first one is down, and skips the first one from then on", func() {
		all := newHosts(3)
		all[0].stop()
		startedAt := time.Now()
		_, placed := all[1].acquire(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(startedAt)).To(BeNumerically(">", 200*time.Millisecond)) // responseTimeout had to pass
		Expect(all[1].client.IsUnresponsive(all[0].name)).To(BeTrue())
		startedAt = time.Now()
		_, placed = all[1].acquire(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("asks the next host at once when the first one declines", func() {
		all := newHosts(3)
		all[0].acceptsRequests.Store(false)
		startedAt := time.Now()
		_, placed := all[1].acquire(2 * time.Second)
		Expect(placed).To(BeAssignableToTypeOf(placement.Place{}))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("uses a host again once it answers a ping", func() {
		all := newHosts(2)
		all[0].acceptsRequests.Store(true)
		all[0].stop()
		all[1].acquire(time.Second)
		Expect(all[1].client.UnresponsiveHosts()).To(Equal(1))
		socket, closeSocket, err := datagram.New(all[0].address.String(), time.Now)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeSocket)
		restarted := slotclient.New(all[0].name, 9, func() bool { return true }, zeroReachability, func(netip.AddrPort, notification.ServerAnnounced) {}, slotserver.New(time.Now), socket, rcu.New(directory.Directory{}), time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go restarted.Receive(ctx)
		time.Sleep(350 * time.Millisecond) // longer than pingDelay
		all[1].client.Tick([]string{"s"})
		Eventually(all[1].client.UnresponsiveHosts).Should(BeZero())
	})

	It("frees a slot whose release was lost", func() {
		all := newHosts(2)
		slot, _ := all[1].acquire(time.Second)
		_ = slot // it is never released
		Expect(all[0].running()).To(Equal(1))
		time.Sleep(1100 * time.Millisecond) // longer than the second that is subtracted below
		// Either host ID may hold the slot, since newHosts orders the hosts by rank.
		all[0].slotServer.ReclaimUnlisted("s", 1, nil, time.Now().Add(-time.Second))
		all[0].slotServer.ReclaimUnlisted("s", 2, nil, time.Now().Add(-time.Second))
		Expect(all[0].running()).To(BeZero())
	})
})
