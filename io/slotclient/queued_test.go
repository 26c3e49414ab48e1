package slotclient_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/directory"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/rcu"
	"redwingsill/core/slotrequest"
	"redwingsill/io/datagram"
	"redwingsill/io/slotclient"
	"redwingsill/io/slotserver"
)

// busyHost is a slot server that queues each request and never has a slot.
type busyHost struct {
	// requests counts the slot requests that have arrived, and isSilent makes the host answer none.
	requests atomic.Int64
	isSilent atomic.Bool
}

// newBusyHost returns a busy host and a client that asks it first, since it has more capacity.
func newBusyHost() (*busyHost, *slotclient.SlotClient) {
	h := &busyHost{}
	busyAddress, address := freeAddress(), freeAddress()
	hosts := rcu.New(directory.Directory{}.With("busy", busyAddress, "ilo", 2).With("h", address, "ilo", 1))
	busySocket, closeBusy, err := datagram.New(busyAddress.String(), time.Now)
	Expect(err).NotTo(HaveOccurred())
	socket, closeSocket, err := datagram.New(address.String(), time.Now)
	Expect(err).NotTo(HaveOccurred())
	client := slotclient.New("h", 1, func() bool { return true }, zeroReachability, func(netip.AddrPort, notification.ServerAnnounced) {},
		slotserver.New(time.Now), socket, hosts, time.Now, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		busySocket.Receive(ctx, func(from netip.AddrPort, n notification.Notification) {
			requested, ok := n.(notification.SlotRequested)
			if !ok {
				return
			}
			h.requests.Add(1)
			if !h.isSilent.Load() {
				_ = busySocket.Send(from, notification.Queued{Ticket: requested.Request.Ticket})
			}
		}, func(error) {})
		ended <- struct{}{}
	}()
	go func() {
		client.Receive(ctx)
		ended <- struct{}{}
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
		<-ended
		closeBusy()
		closeSocket()
	})
	return h, client
}

// acquireFor asks for a slot, and returns how long it took until the answer.
func acquireFor(client *slotclient.SlotClient, timeout time.Duration) (placement.Placement, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	_, placed := client.Acquire(ctx, slotrequest.SlotRequest{DataCentre: "ilo", Service: "s", Key: slotrequest.NoKey, Objective: began, Deadline: began.Add(time.Hour)})
	return placed, time.Since(began)
}

var _ = Describe("a queued slot request", func() {
	// In a burst thousands of requests wait at one host. If each is sent again every 400 ms, that host is too busy to answer, all hosts
	// take it for unresponsive, and decide by themselves.
	It("is sent again less and less often", func() {
		h, client := newBusyHost()
		acquireFor(client, 4*time.Second)
		Expect(h.requests.Load()).To(BeNumerically("~", 4, 1))
	})

	It("goes elsewhere soon after another request has found the host silent", func() {
		h, client := newBusyHost()
		type result struct {
			placed placement.Placement
			took   time.Duration
		}
		results := make(chan result, 1)
		go func() {
			placed, took := acquireFor(client, 8*time.Second)
			results <- result{placed, took}
		}()
		time.Sleep(1500 * time.Millisecond) // the next retransmission is due after 2.8 s
		h.isSilent.Store(true)
		_, _ = acquireFor(client, 2*time.Second)
		var got result
		Eventually(results, "1s").Should(Receive(&got))
		// This host has no servers, so its own slot server refuses the request.
		Expect(got.placed).To(BeAssignableToTypeOf(placement.Refuse{}))
		Expect(got.placed.(placement.Refuse).Reason).To(Equal(placement.NoServers))
		Expect(got.took).To(BeNumerically("<", 2700*time.Millisecond))
	})
})
