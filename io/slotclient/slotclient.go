// Package slotclient acquires slots of backend servers from the entry host that gives out the slots of their service.
package slotclient

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/directory"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
	"redwingsill/io/datagram"
	"redwingsill/io/slotserver"
)

// SlotClient acquires slots for one entry host, and answers other hosts' requests from its slot server. It is safe for
// concurrent use.
type SlotClient struct {
	name string
	// hostID is the upper half of each ticket. It differs between hosts and between starts.
	hostID        uint32
	ticketCounter atomic.Uint32
	now           func() time.Time
	log           *slog.Logger
	// acceptsRequests reports whether this host gives out slots to others.
	acceptsRequests func() bool
	slotServer      *slotserver.SlotServer
	socket          *datagram.Socket
	directory       *rcu.Value[directory.Directory]
	// unresponsive has the addresses of hosts that do not respond, each with the time when that was noticed. The next
	// notification from a host removes it.
	unresponsive *rcu.Value[map[netip.AddrPort]time.Time]
	// silenced has a channel that is closed when one more host becomes unresponsive, and then replaced.
	silenced *rcu.Value[chan struct{}]
	// waiting has, by ticket, the channel for the responses to a slot request.
	waiting sync.Map
	// slots has, by ticket, the slots in use.
	slots sync.Map
	// slotSources has the pools of other hosts that gave out slots to this one, each with the time of the last slot.
	slotSources sync.Map
	// reachability returns this host's reachability record without the coordinator's revision, and peerReachabilities has,
	// by address, the records of other hosts.
	reachability       func() reachability.Reachability
	peerReachabilities sync.Map
	// coordinatorRevision is the highest revision of the coordinator's key that this host has announced to others or
	// received from them.
	coordinatorRevision atomic.Int64
	// requestedAt has, by service, the time of the last slot request from another host.
	requestedAt sync.Map
	// onAnnouncement receives what a backend server has announced to another host.
	onAnnouncement func(from netip.AddrPort, n notification.ServerAnnounced)
}

// New returns the slot client of a host. The hostID must differ between hosts and between starts. The function
// acceptsRequests reports whether this host gives out slots to others, and ownReachability returns its record of when
// it reached the store. The function onAnnouncement receives what a backend server has announced to another host; it must not
// block.
func New(name string, hostID uint32, acceptsRequests func() bool, ownReachability func() reachability.Reachability,
	onAnnouncement func(from netip.AddrPort, n notification.ServerAnnounced), slotServer *slotserver.SlotServer, socket *datagram.Socket, directory *rcu.Value[directory.Directory], now func() time.Time, log *slog.Logger) *SlotClient {
	return &SlotClient{name: name, hostID: hostID, now: now, log: log, acceptsRequests: acceptsRequests, reachability: ownReachability,
		slotServer: slotServer, socket: socket, directory: directory, unresponsive: rcu.New(map[netip.AddrPort]time.Time{}),
		silenced:       rcu.New(make(chan struct{})),
		onAnnouncement: onAnnouncement}
}

// trackSlot records the slot of a placement as in use, and returns the slot with the placement. For a refusal, the slot is
// empty.
func (c *SlotClient) trackSlot(host netip.AddrPort, r slotrequest.SlotRequest, p placement.Placement) (Slot, placement.Placement) {
	place, ok := p.(placement.Place)
	if !ok {
		return Slot{}, p
	}
	s := Slot{Incarnation: place.Incarnation, ticket: r.Ticket, service: r.Service, host: host, client: c}
	c.slots.Store(r.Ticket, s)
	if !s.isLocal() {
		c.slotSources.Store(slotSource{host: host, service: r.Service}, c.now())
	}
	return s, p
}

// release gives a slot back to the host that gave it out.
func (c *SlotClient) release(s Slot, r attemptresult.AttemptResult) {
	c.slots.Delete(s.ticket)
	r.Ticket = s.ticket
	if s.isLocal() {
		c.slotServer.Release(s.service, r)
		return
	}
	if r.Announcement.HasEffect() {
		c.send(s.host, notification.ServerAnnounced{Service: s.service, Host: c.hostID, Incarnation: s.Incarnation, Announcement: r.Announcement})
	}
	if r.Announcement.ColdFor > 0 {
		c.send(s.host, notification.ServerCold{Service: s.service, Incarnation: s.Incarnation, ColdFor: r.Announcement.ColdFor})
	}
	c.send(s.host, notification.AttemptReported{Service: s.service, Result: r})
}

func (c *SlotClient) send(to netip.AddrPort, n notification.Notification) {
	if err := c.socket.Send(to, n); err != nil {
		// As after a loss in the network, requests are sent again, and lists of held slots make up for lost releases.
		c.log.Debug("notification not sent", "To", to, "Error", err)
	}
}

// Handle processes a notification from another host.
func (c *SlotClient) Handle(from netip.AddrPort, n notification.Notification) {
	c.markResponsive(from)
	switch n := n.(type) {
	case notification.SlotRequested:
		if !c.acceptsRequests() {
			c.send(from, notification.Declined{Ticket: n.Request.Ticket})
			return
		}
		c.requestedAt.Store(n.Request.Service, c.now())
		c.handleRequest(from, n.Request)
	case notification.Queued:
		c.deliver(n.Ticket, n)
	case notification.Refused:
		c.deliver(n.Refuse.Ticket, n)
	case notification.Declined:
		c.deliver(n.Ticket, n)
	case notification.Placed:
		if c.deliver(n.Place.Ticket, n) {
			return
		}
		if _, isUsed := c.slots.Load(n.Place.Ticket); !isUsed { // the request has ended, so the slot goes back
			c.send(from, notification.Cancelled{Ticket: n.Place.Ticket})
		}
	case notification.Cancelled:
		c.slotServer.Cancel(n.Service, n.Ticket)
	case notification.AttemptReported:
		c.slotServer.Release(n.Service, n.Result)
	case notification.ServerAnnounced:
		if n.Announcement.Pause > 0 {
			c.slotServer.Pause(n.Service, n.Incarnation, n.Host, n.Announcement.Pause)
		}
		c.onAnnouncement(from, n)
	case notification.ServerCold:
		c.onAnnouncement(from, notification.ServerAnnounced{Service: n.Service, Incarnation: n.Incarnation, Announcement: announcement.Announcement{ColdFor: n.ColdFor}})
	case notification.HeldSlots:
		c.slotServer.ReclaimUnlisted(n.Service, n.Host, n.Tickets, c.now().Add(-minReclaimAge))
	case notification.Ping:
		c.send(from, notification.Pong{})
	case notification.Pong: // markResponsive has recorded the answer
	case notification.ReachabilityRequested:
		c.updateCoordinatorRevision(n.CoordinatorRevision)
		c.send(from, notification.ReachabilityReported{Reachability: c.ownReachability()})
	case notification.ReachabilityReported:
		c.peerReachabilities.Store(from, n.Reachability.WithReportedAt(c.now()))
	}
}

// handleRequest asks the slot server for a slot on behalf of another host. If the request has to wait, the other host
// is notified at once, so that it knows that the request has arrived.
func (c *SlotClient) handleRequest(from netip.AddrPort, r slotrequest.SlotRequest) {
	var isAnswered atomic.Bool
	c.slotServer.Request(r, func(p placement.Placement) {
		isAnswered.Store(true)
		switch p := p.(type) {
		case placement.Place:
			c.send(from, notification.Placed{Place: p})
		case placement.Refuse:
			c.send(from, notification.Refused{Refuse: p})
		}
	})
	if !isAnswered.Load() {
		c.send(from, notification.Queued{Ticket: r.Ticket})
	}
}

// deliver passes a response to the request that waits for it, and reports whether there is one.
func (c *SlotClient) deliver(ticket uint64, n notification.Notification) bool {
	responses, ok := c.waiting.Load(ticket)
	if !ok {
		return false
	}
	select {
	case responses.(chan notification.Notification) <- n:
	default: // the buffer already holds several responses to this request
	}
	return true
}
