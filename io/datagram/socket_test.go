package datagram

import (
	"bytes"
	"context"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
)

var now = time.Unix(1000, 0)

var notifications = []notification.Notification{
	notification.SlotRequested{Request: slotrequest.SlotRequest{Ticket: 1<<63 | 5, DataCentre: "ilo", Service: "s", Key: 65535, Rank: 2, Objective: now.Add(-time.Second),
		Deadline: now.Add(time.Minute), Excluded: []string{"a@1", "b@2"}, IsRetry: true, IsIdempotent: true}},
	notification.SlotRequested{Request: slotrequest.SlotRequest{Ticket: 1, Key: slotrequest.NoKey, Objective: now, Deadline: now}},
	notification.Queued{Ticket: 7},
	notification.Placed{Place: placement.Place{Ticket: 7, Incarnation: "i-1@1700000000000"}},
	notification.Refused{Refuse: placement.Refuse{Ticket: 7, RetryAfter: time.Second, Reason: placement.Unreachable}},
	notification.Declined{Ticket: 7},
	notification.Cancelled{Service: "s", Ticket: 7},
	notification.AttemptReported{Service: "s", Result: attemptresult.AttemptResult{Ticket: 7, Incarnation: "a", Status: attemptresult.TimedOut, Duration: time.Second, Running: -1, Waiting: 3}},
	notification.HeldSlots{Service: "s", Host: 1<<32 - 1, Tickets: []uint64{1, 2, 3}},
	notification.HeldSlots{Service: "s"},
	notification.ServerAnnounced{Service: "s", Host: 1<<32 - 1, Incarnation: "a@1", Announcement: announcement.Announcement{IsLeaving: true}},
	notification.ServerCold{Service: "s", Incarnation: "a@1", ColdFor: 1234 * time.Millisecond},
	notification.ServerAnnounced{Service: "s", Host: 3, Incarnation: "a@1", Announcement: announcement.Announcement{Pause: time.Minute}},
	notification.Ping{},
	notification.Pong{},
	notification.ReachabilityRequested{CoordinatorRevision: 1 << 40},
	notification.ReachabilityReported{Reachability: reachability.Reachability{ReachableSince: now.Add(-time.Hour), LastAnswer: now.Add(-time.Millisecond), CoordinatorRevision: 7}},
}

func TestRoundTrip(t *testing.T) {
	for _, n := range notifications {
		got, err := decode(encode(n, now), now)
		if err != nil || !reflect.DeepEqual(got, n) {
			t.Errorf("%T: got %+v, %v; want %+v", n, got, err, n)
		}
	}
}

func TestMalformedLengths(t *testing.T) {
	for _, n := range notifications {
		encoded := encode(n, now)
		for length := range encoded {
			if got, err := decode(encoded[:length], now); err == nil {
				t.Errorf("%T truncated to %d bytes decodes to %+v", n, length, got)
			}
		}
		if got, err := decode(append(encoded, 0), now); err == nil {
			t.Errorf("%T with a trailing byte decodes to %+v", n, got)
		}
	}
}

func TestHostsOfAnEarlierVersionCanReadAttemptResults(t *testing.T) {
	result := attemptresult.AttemptResult{Ticket: 7, Incarnation: "a", Running: -1, Waiting: -1}
	plain := encode(notification.AttemptReported{Service: "s", Result: result}, now)
	result.Announcement.IsLeaving = true
	if got := encode(notification.AttemptReported{Service: "s", Result: result}, now); !bytes.Equal(got, plain) {
		t.Errorf("got % x, want % x", got, plain)
	}
}

// FuzzDecode checks that a notification that decodes from any bytes is unchanged when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, n := range notifications {
		f.Add(encode(n, now))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := decode(b, now)
		if err != nil {
			return
		}
		if again, err := decode(encode(n, now), now); err != nil || !reflect.DeepEqual(again, n) {
			t.Errorf("%+v decodes to %+v, %v after it is encoded again", n, again, err)
		}
	})
}

func TestSendAndReceive(t *testing.T) {
	a, closeA, err := New("127.0.0.1:0", time.Now)
	if err != nil {
		t.Fatal(err)
	}
	defer closeA()
	b, closeB, err := New("127.0.0.1:0", time.Now)
	if err != nil {
		t.Fatal(err)
	}
	defer closeB()
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan notification.Notification, 1)
	failures := make(chan error, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Receive(ctx, func(_ netip.AddrPort, n notification.Notification) { got <- n }, func(err error) { failures <- err })
	}()
	to := netip.MustParseAddrPort(b.conn.LocalAddr().String())
	if _, err := a.conn.WriteToUDPAddrPort([]byte("no notice"), to); err != nil {
		t.Fatal(err)
	}
	if err := <-failures; err == nil {
		t.Error("a malformed datagram was reported without an error")
	}
	if err := a.Send(to, notification.Queued{Ticket: 3}); err != nil {
		t.Fatal(err)
	}
	if n := <-got; n != (notification.Queued{Ticket: 3}) {
		t.Errorf("received %+v, want Queued with ticket 3", n)
	}
	cancel()
	<-stopped
}
