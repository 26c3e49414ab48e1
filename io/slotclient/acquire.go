package slotclient

import (
	"context"
	"net/netip"
	"time"

	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// Acquire waits for a slot for a request, whose ticket it assigns. It returns the slot and its placement, or an empty slot
// and a refusal. If the context ends first, the refusal has the reason [placement.Expired].
func (c *SlotClient) Acquire(ctx context.Context, r slotrequest.SlotRequest) (Slot, placement.Placement) {
	r.Ticket = uint64(c.hostID)<<32 | uint64(c.ticketCounter.Add(1))
	for _, candidate := range c.candidates(r.Service, r.HasKey()) {
		if candidate.Name == c.name {
			return c.acquireLocally(ctx, r)
		}
		if slot, placed, ok := c.acquireFrom(ctx, candidate.Address, r); ok {
			return slot, placed
		}
		// With a new ticket, a late answer from this candidate is not taken for an answer from the next one.
		r.Ticket = uint64(c.hostID)<<32 | uint64(c.ticketCounter.Add(1))
	}
	return c.acquireLocally(ctx, r)
}

// acquireLocally waits for a slot from this host's slot server.
func (c *SlotClient) acquireLocally(ctx context.Context, r slotrequest.SlotRequest) (Slot, placement.Placement) {
	responses := make(chan placement.Placement, 1)
	c.slotServer.Request(r, func(p placement.Placement) { responses <- p })
	select {
	case p := <-responses:
		return c.trackSlot(netip.AddrPort{}, r, p)
	case <-ctx.Done():
	}
	c.slotServer.Cancel(r.Service, r.Ticket)
	return Slot{}, refuseExpired(r.Ticket)
}

func refuseExpired(ticket uint64) placement.Refuse {
	return placement.Refuse{Ticket: ticket, Reason: placement.Expired, RetryAfter: expiredRetryAfter}
}

// acquireFrom asks another host for a slot. It reports false if that host declines or does not respond.
func (c *SlotClient) acquireFrom(ctx context.Context, host netip.AddrPort, r slotrequest.SlotRequest) (Slot, placement.Placement, bool) {
	responses := make(chan notification.Notification, responseBuffer)
	c.waiting.Store(r.Ticket, responses)
	defer c.waiting.Delete(r.Ticket)
	timer := time.NewTimer(resendDelay)
	defer timer.Stop()
	c.send(host, notification.SlotRequested{Request: r})
	delay, queuedDelay := resendDelay, queuedResendDelay
	silentSince := c.now()
	sentAt := silentSince
	silenced := c.silenced.Load()
	for {
		select {
		case <-silenced:
			silenced = c.silenced.Load()
			// Another request got no answer from the host, so this one need not wait for its next retransmission to find out.
			if now := c.now(); c.isUnresponsive(host) && now.Sub(sentAt) >= queuedResendDelay {
				silentSince, sentAt, delay = now, now, resendDelay
				timer.Reset(delay)
				c.send(host, notification.SlotRequested{Request: r})
			}
		case n := <-responses:
			switch n := n.(type) {
			case notification.Placed:
				slot, placed := c.trackSlot(host, r, n.Place)
				return slot, placed, true
			case notification.Refused:
				return Slot{}, n.Refuse, true
			case notification.Declined:
				return Slot{}, nil, false
			default: // queued: silence counts from the next retransmission
				silentSince = c.now().Add(queuedDelay)
				delay = queuedDelay
				queuedDelay = min(2*queuedDelay, maxQueuedResendDelay)
				timer.Reset(delay)
			}
		case <-timer.C:
			if now := c.now(); now.Sub(silentSince) > responseTimeout {
				c.send(host, notification.Cancelled{Service: r.Service, Ticket: r.Ticket})
				c.markUnresponsive(host, now)
				return Slot{}, nil, false
			}
			delay = min(2*delay, maxResendDelay)
			timer.Reset(delay)
			sentAt = c.now()
			c.send(host, notification.SlotRequested{Request: r})
		case <-ctx.Done():
			c.send(host, notification.Cancelled{Service: r.Service, Ticket: r.Ticket})
			return Slot{}, refuseExpired(r.Ticket), true
		}
	}
}
