package linkload_test

import (
	"testing"
	"time"

	"redwingsill/core/linkload"
)

const (
	small = 60_000
	ms    = time.Millisecond
)

var now = time.Unix(1000, 0)

// loaded returns a link of 10 Mbit/s that has been busy with bodies, with n bodies of 60 KB that have just been admitted.
func loaded(n int) linkload.LinkLoad {
	l := linkload.New(10)
	for range 25 {
		l = l.WithBody(0, small, now).Without(0)
	}
	return with(l, n)
}

// with returns the link with n bodies of 60 KB.
func with(l linkload.LinkLoad, n int) linkload.LinkLoad {
	for i := range n {
		l = l.WithBody(uint64(i), small, now)
	}
	return l
}

// A link of 10 Mbit/s saturates if all bodies are read at once, and then every short request through the host is late. But a link
// with room must refuse nothing, and a body that is only slow to arrive must not keep others out.
func TestBodiesAreAdmittedWhileTheLinkHasRoom(t *testing.T) {
	waiting := loaded(6)
	for i := range uint64(6) {
		waiting = waiting.WithRead(i, small).WithWhole(i)
	}
	busy := loaded(0).WithShort(4_000_000, now)
	for _, c := range []struct {
		name                      string
		link                      linkload.LinkLoad
		length                    int64
		work, objective, deadline time.Duration
		at                        time.Duration
		want                      bool
	}{
		{"unknown capacity", linkload.LinkLoad{}, 1 << 30, 0, time.Second, time.Second, 0, true},
		{"idle", loaded(0), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"one under way", loaded(1), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"two under way", loaded(2), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, false},
		{"three under way, idle before", with(linkload.New(10), 3), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"six under way, idle before", with(linkload.New(10), 6), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, false},
		{"one of two read", loaded(2).WithRead(0, small).WithWhole(0), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"one of two has left", loaded(2).Without(1), small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"six wait for servers", waiting, small, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"silent callers", loaded(10), small, 200 * ms, 4 * time.Second, 8 * time.Second, time.Second, true},
		{"longer than the room, idle", loaded(0), 500_000, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"longer than the room, beside another", loaded(1), 500_000, 200 * ms, 2 * time.Second, 4 * time.Second, 0, false},
		{"too long for the objective, in time for the deadline", loaded(0), 1_500_000, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"too long for the deadline", loaded(0), 3_000_000, 200 * ms, 2 * time.Second, 4 * time.Second, 0, false},
		{"late by what waits", waiting, small, 200 * ms, 550 * ms, 4 * time.Second, 0, false},
		{"the objective has passed", loaded(0), small, 200 * ms, -100 * ms, 4 * time.Second, 0, true},
		{"short traffic takes the link", busy, 200_000, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"short traffic, objective of a second", busy, 200_000, 200 * ms, time.Second, time.Second, 0, false},
		{"short traffic has ended", busy, 200_000, 200 * ms, time.Second, time.Second, 6 * time.Second, true},
		{"unknown length", loaded(0), -1, 200 * ms, 2 * time.Second, 4 * time.Second, 0, true},
		{"unknown length beside two", loaded(2), -1, 200 * ms, 2 * time.Second, 4 * time.Second, 0, false},
	} {
		after, got := c.link.Admit(c.length, c.work, c.objective, c.deadline, 0, now.Add(c.at))
		if got != c.want {
			t.Errorf("%s: admitted %v, want %v", c.name, got, c.want)
		}
		if !got && (after < 50*ms || after > time.Minute) {
			t.Errorf("%s: the caller may return after %v", c.name, after)
		}
	}
}

// Refused callers that return all at once, or before there is room, would be refused again.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	l := loaded(2)
	first, _ := l.Admit(small, 0, 2*time.Second, 4*time.Second, 0, now)
	last, _ := l.Admit(small, 0, 2*time.Second, 4*time.Second, 1, now)
	if last < 3*first/2 {
		t.Errorf("returns spread from %v to %v", first, last)
	}
	// The link works off 1,250 bytes a millisecond: first the bodies are read, then sent.
	then := l
	for i := range uint64(2) {
		then = then.WithRead(i, int64(first/ms+1)*1250/2)
	}
	if _, ok := then.Admit(small, 0, 2*time.Second, 4*time.Second, 0, now.Add(first)); !ok {
		t.Errorf("after %v there is no room", first)
	}
}
