package datagram

import (
	"context"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/contact"
	"redwingsill/core/notice"
	"redwingsill/core/placement"
	"redwingsill/core/report"
)

var now = time.Unix(1000, 0)

var notices = []notice.Notice{
	notice.Asked{Ask: ask.Ask{Ticket: 1<<63 | 5, DataCentre: "ilo", Service: "s", Key: 65535, Rank: 2, Objective: now.Add(-time.Second),
		Deadline: now.Add(time.Minute), Excluded: []string{"a@1", "b@2"}, IsRepeat: true, MayRepeat: true}},
	notice.Asked{Ask: ask.Ask{Ticket: 1, Key: ask.NoKey, Objective: now, Deadline: now}},
	notice.Queued{Ticket: 7},
	notice.Placed{Place: placement.Place{Ticket: 7, Life: "i-1@1700000000000"}},
	notice.Refused{Refuse: placement.Refuse{Ticket: 7, RetryAfter: time.Second, Reason: placement.Unreachable}},
	notice.Declined{Ticket: 7},
	notice.Dropped{Service: "s", Ticket: 7},
	notice.Reported{Service: "s", Report: report.Report{Ticket: 7, Life: "a", Result: report.Silent, Took: time.Second, Running: -1, Waiting: 3}},
	notice.Held{Service: "s", Host: 1<<32 - 1, Tickets: []uint64{1, 2, 3}},
	notice.Held{Service: "s"},
	notice.Ping{},
	notice.Pong{},
	notice.ContactAsked{Coordinator: 1 << 40},
	notice.ContactTold{Contact: contact.Contact{Since: now.Add(-time.Hour), Last: now.Add(-time.Millisecond), Coordinator: 7}},
}

func TestCodec(t *testing.T) {
	for _, n := range notices {
		got, err := decode(encode(n, now), now)
		if err != nil || !reflect.DeepEqual(got, n) {
			t.Errorf("%T: %+v, %v; want %+v", n, got, err, n)
		}
	}
}

func TestShortDatagrams(t *testing.T) {
	for _, n := range notices {
		whole := encode(n, now)
		for length := range whole {
			if got, err := decode(whole[:length], now); err == nil {
				t.Errorf("%T cut to %d bytes is %+v", n, length, got)
			}
		}
		if got, err := decode(append(whole, 0), now); err == nil {
			t.Errorf("%T with a byte more is %+v", n, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, n := range notices {
		f.Add(encode(n, now))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := decode(b, now)
		if err != nil {
			return
		}
		if again, err := decode(encode(n, now), now); err != nil || !reflect.DeepEqual(again, n) {
			t.Errorf("%+v is not the same after a second way: %+v, %v", n, again, err)
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
	got := make(chan notice.Notice, 1)
	bad := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.Receive(ctx, func(_ netip.AddrPort, n notice.Notice) { got <- n }, func(err error) { bad <- err })
	}()
	to := netip.MustParseAddrPort(b.socket.LocalAddr().String())
	if _, err := a.socket.WriteToUDPAddrPort([]byte("no notice"), to); err != nil {
		t.Fatal(err)
	}
	if err := <-bad; err == nil {
		t.Error("what is no notice was told without an error")
	}
	if err := a.Send(to, notice.Queued{Ticket: 3}); err != nil {
		t.Fatal(err)
	}
	if n := <-got; n != (notice.Queued{Ticket: 3}) {
		t.Errorf("got %+v", n)
	}
	cancel()
	<-ended
}
