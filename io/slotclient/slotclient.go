// Package slotclient finds, among the entry hosts, the one that gives out the slots of a service, and asks it for one.
package slotclient

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

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

// SlotClient asks for slots on behalf of one entry host and answers other hosts' asks from its desk. Its methods may be
// called at the same time.
type SlotClient struct {
	name    string
	host    uint32
	counter atomic.Uint32
	now     func() time.Time
	log     *slog.Logger
	// isOpen tells whether this host gives out slots to others.
	isOpen    func() bool
	desk      *slotserver.SlotServer
	socket    *datagram.Datagram
	directory *rcu.Value[directory.Directory]
	// silent gives, by address, the hosts that did not answer; an entry goes with the next notice from there.
	silent *rcu.Value[map[netip.AddrPort]time.Time]
	// waiting gives, by ticket, the channel on which an ask is answered, and slots the slots in use.
	waiting sync.Map
	slots   sync.Map
	// holders gives, by pool, when it last gave out a slot.
	holders sync.Map
	// contact tells this host's contact with the store, and contacts gives, by address, that of others as told.
	contact  func() reachability.Reachability
	contacts sync.Map
	// newest is the highest revision of a coordinator that another host told of.
	newest atomic.Int64
	// askedAt gives, by service, when another host last asked this one.
	askedAt sync.Map
}

// New returns the dispatch of a host. The number host must differ from those of other hosts and of earlier starts. The
// function isOpen tells whether this host gives out slots to others, and inTouch its contact with the store.
func New(name string, host uint32, isOpen func() bool, inTouch func() reachability.Reachability, d *slotserver.SlotServer, socket *datagram.Datagram,
	directory *rcu.Value[directory.Directory], now func() time.Time, log *slog.Logger) *SlotClient {
	return &SlotClient{name: name, host: host, now: now, log: log, isOpen: isOpen, contact: inTouch, desk: d, socket: socket, directory: directory,
		silent: rcu.New(map[netip.AddrPort]time.Time{})}
}

// Place waits for a slot for the ask, whose ticket it chooses. It returns a refusal when the context ends.
func (d *SlotClient) Place(ctx context.Context, a slotrequest.SlotRequest) (Slot, placement.Placement) {
	a.Ticket = uint64(d.host)<<32 | uint64(d.counter.Add(1))
	for _, candidate := range d.candidates(a.Service, a.HasKey()) {
		if candidate.Name == d.name {
			return d.placeHere(ctx, a)
		}
		if slot, placed, ok := d.placeAt(ctx, candidate.Address, a); ok {
			return slot, placed
		}
		a.Ticket = uint64(d.host)<<32 | uint64(d.counter.Add(1))
	}
	return d.placeHere(ctx, a)
}

func (d *SlotClient) placeHere(ctx context.Context, a slotrequest.SlotRequest) (Slot, placement.Placement) {
	answers := make(chan placement.Placement, 1)
	d.desk.Ask(a, func(p placement.Placement) { answers <- p })
	select {
	case p := <-answers:
		return d.taken(netip.AddrPort{}, a, p)
	case <-ctx.Done():
	}
	d.desk.Drop(a.Service, a.Ticket)
	return Slot{}, expired(a.Ticket)
}

func expired(ticket uint64) placement.Refuse {
	return placement.Refuse{Ticket: ticket, Reason: placement.Expired, RetryAfter: leastRetry}
}

// placeAt asks another host. It reports false where that host does not answer.
func (d *SlotClient) placeAt(ctx context.Context, at netip.AddrPort, a slotrequest.SlotRequest) (Slot, placement.Placement, bool) {
	answers := make(chan notification.Notification, answerBuffer)
	d.waiting.Store(a.Ticket, answers)
	defer d.waiting.Delete(a.Ticket)
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	d.send(at, notification.SlotRequested{Request: a})
	wait := firstWait
	silentSince := d.now()
	for {
		select {
		case n := <-answers:
			switch n := n.(type) {
			case notification.Placed:
				slot, placed := d.taken(at, a, n.Place)
				return slot, placed, true
			case notification.Refused:
				return Slot{}, n.Refuse, true
			case notification.Declined:
				return Slot{}, nil, false
			default:
				silentSince = d.now().Add(queuedWait)
				wait = queuedWait
				timer.Reset(wait)
			}
		case <-timer.C:
			if now := d.now(); now.Sub(silentSince) > patience {
				d.send(at, notification.Cancelled{Service: a.Service, Ticket: a.Ticket})
				d.suspect(at, now)
				return Slot{}, nil, false
			}
			wait = min(2*wait, secondWait)
			timer.Reset(wait)
			d.send(at, notification.SlotRequested{Request: a})
		case <-ctx.Done():
			d.send(at, notification.Cancelled{Service: a.Service, Ticket: a.Ticket})
			return Slot{}, expired(a.Ticket), true
		}
	}
}

// taken notes a slot that is in use.
func (d *SlotClient) taken(at netip.AddrPort, a slotrequest.SlotRequest, p placement.Placement) (Slot, placement.Placement) {
	placed, ok := p.(placement.Place)
	if !ok {
		return Slot{}, p
	}
	s := Slot{Life: placed.Incarnation, ticket: a.Ticket, service: a.Service, at: at, dispatch: d}
	d.slots.Store(a.Ticket, s)
	if !s.isHere() {
		d.holders.Store(holder{at: at, service: a.Service}, d.now())
	}
	return s, p
}

// done gives a slot back.
func (d *SlotClient) done(s Slot, r attemptresult.AttemptResult) {
	d.slots.Delete(s.ticket)
	r.Ticket = s.ticket
	if s.isHere() {
		d.desk.Report(s.service, r)
		return
	}
	d.send(s.at, notification.AttemptReported{Service: s.service, Result: r})
}

func (d *SlotClient) send(to netip.AddrPort, n notification.Notification) {
	if err := d.socket.Send(to, n); err != nil {
		d.log.Debug("notice not sent", "To", to, "Error", err) // the same as one lost on its way: it is sent again where it matters
	}
}

// Handle takes a notice from another host.
func (d *SlotClient) Handle(from netip.AddrPort, n notification.Notification) {
	d.heard(from)
	switch n := n.(type) {
	case notification.SlotRequested:
		if !d.isOpen() {
			d.send(from, notification.Declined{Ticket: n.Request.Ticket})
			return
		}
		d.askedAt.Store(n.Request.Service, d.now())
		d.answer(from, n.Request)
	case notification.Queued:
		d.pass(n.Ticket, n)
	case notification.Refused:
		d.pass(n.Refuse.Ticket, n)
	case notification.Declined:
		d.pass(n.Ticket, n)
	case notification.Placed:
		if d.pass(n.Place.Ticket, n) {
			return
		}
		if _, isUsed := d.slots.Load(n.Place.Ticket); !isUsed {
			d.send(from, notification.Cancelled{Ticket: n.Place.Ticket})
		}
	case notification.Cancelled:
		d.desk.Drop(n.Service, n.Ticket)
	case notification.AttemptReported:
		d.desk.Report(n.Service, n.Result)
	case notification.HeldSlots:
		d.desk.Held(n.Service, n.Host, n.Tickets, d.now().Add(-heldSlack))
	case notification.Ping:
		d.send(from, notification.Pong{})
	case notification.Pong:
	case notification.ReachabilityRequested:
		d.hearOf(n.CoordinatorRevision)
		d.send(from, notification.ReachabilityReported{Reachability: d.ownContact()})
	case notification.ReachabilityReported:
		d.contacts.Store(from, told{contact: n.Reachability, at: d.now()})
	}
}

// answer asks the desk on behalf of another host. Where the ask has to wait the other host is told at once, so that it
// knows that its ask has come.
func (d *SlotClient) answer(from netip.AddrPort, a slotrequest.SlotRequest) {
	var isAnswered atomic.Bool
	d.desk.Ask(a, func(p placement.Placement) {
		isAnswered.Store(true)
		switch p := p.(type) {
		case placement.Place:
			d.send(from, notification.Placed{Place: p})
		case placement.Refuse:
			d.send(from, notification.Refused{Refuse: p})
		}
	})
	if !isAnswered.Load() {
		d.send(from, notification.Queued{Ticket: a.Ticket})
	}
}

// pass gives an answer to the ask that waits for it, if one does.
func (d *SlotClient) pass(ticket uint64, n notification.Notification) bool {
	answers, ok := d.waiting.Load(ticket)
	if !ok {
		return false
	}
	select {
	case answers.(chan notification.Notification) <- n:
	default: // the ask has more answers than it can use
	}
	return true
}
