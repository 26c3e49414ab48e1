package uploads_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/admission"
	"redwingsill/core/linkload"
	"redwingsill/core/upload"
	"redwingsill/core/uploads"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func offer(id uint64, service string, now time.Time) upload.Upload {
	return upload.Upload{ID: id, Route: "r", Service: service, Length: 20_000, Objective: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second)}
}

// count offers 20 bodies one after another, and counts the answers.
func count(u uploads.Uploads, service string, isSharded bool, now time.Time) map[string]int {
	counts := map[string]int{}
	for id := range uint64(20) {
		o := offer(id, service, now)
		o.IsSharded = isSharded
		next, answer := u.WithOffer(o, now)
		switch answer := answer.(type) {
		case admission.Admitted:
			counts["Admitted"]++
		case admission.Refused:
			counts[string(answer.Reason)]++
		}
		u = next.Without(id)
	}
	return counts
}

// Refusals of one service must not keep out the bodies for another, and for a sharded service those of one key not those of others:
// the weights of a route and the keys that have room would suffer.
func TestRefusalsConcernTheirServiceAlone(t *testing.T) {
	u := uploads.New(linkload.New(10))
	for range 5 {
		u = u.WithServed(offer(1, "full", start), 1, 200*ms, start).WithRefused(offer(1, "full", start), 1, 100*ms, start)
	}
	for _, c := range []struct {
		name, service    string
		isSharded        bool
		at               time.Duration
		minHeld, maxHeld int
	}{
		{"the service", "full", false, 0, 5, 12},
		{"another service", "other", false, 0, 0, 0},
		{"the service, if sharded", "full", true, 0, 0, 0},
		{"later", "full", false, 2 * time.Second, 0, 0},
	} {
		if got := count(u, c.service, c.isSharded, start.Add(c.at)); got["Overload"] < c.minHeld || got["Overload"] > c.maxHeld || got["Link"] > 0 {
			t.Errorf("%s: %v, want %d to %d for overload", c.name, got, c.minHeld, c.maxHeld)
		}
	}
}

// After long queues the expected work alone must not refuse every body, since then nothing would show that they have ended.
func TestLongWorkDoesNotKeepAllBodiesOut(t *testing.T) {
	u := uploads.New(linkload.New(10))
	for range 50 {
		u = u.WithServed(offer(1, "s", start), 1, 3*time.Second, start)
	}
	if got := count(u, "s", false, start.Add(time.Second)); got["Admitted"] != 20 {
		t.Errorf("%v", got)
	}
}

// The memory of outcomes must stay bounded when a configuration changes the names of its routes all the time.
func TestHistoriesAreBounded(t *testing.T) {
	u := uploads.New(linkload.New(10))
	for i := range 2000 {
		o := offer(uint64(i), fmt.Sprint("s", i), start)
		u = u.WithRefused(o, 1, 100*ms, start.Add(time.Duration(i)*time.Second))
	}
	if n := u.Destinations(); n > 256 {
		t.Errorf("%d destinations are kept", n)
	}
}

// In a burst beyond what the link carries, packets of short requests must not wait behind bodies for most of their objective, and
// the link must not idle.
func TestBurstLeavesRoomOnTheLink(t *testing.T) {
	const bytesPerMS, body, ticks = 1250, 60_000, 6000
	type piece struct {
		id     uint64
		isRead bool
		rest   int64
	}
	u, queue, admitted, worst, later, backlog := uploads.New(linkload.New(10)), []piece{}, 0, int64(0), int64(0), int64(0)
	ends := map[int]uint64{}
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * ms)
		if tick%50 == 0 { // 20 uploads a second; the link carries 10
			o := offer(uint64(tick+1), "s", now)
			o.Length = body
			next, answer := u.WithOffer(o, now)
			if _, ok := answer.(admission.Admitted); ok {
				admitted++
				queue, backlog = append(queue, piece{o.ID, true, body}), backlog+body
			}
			u = next
		}
		worst = max(worst, backlog/bytesPerMS)
		if tick > 2000 {
			later = max(later, backlog/bytesPerMS)
		}
		for room := int64(bytesPerMS); room > 0 && len(queue) > 0; {
			p := &queue[0]
			n := min(room, p.rest)
			room, p.rest, backlog = room-n, p.rest-n, backlog-n
			if p.isRead {
				u = u.WithRead(p.id, n)
			}
			if p.rest > 0 {
				continue
			}
			if p.isRead {
				u = u.WithWhole(p.id).WithSending(p.id, now)
				queue, backlog = append(queue, piece{p.id, false, body}), backlog+body
			} else {
				ends[tick+200] = p.id // the work
			}
			queue = queue[1:]
		}
		if id, ok := ends[tick]; ok {
			u = u.Without(id)
		}
	}
	t.Logf("%d admitted, at most %d ms behind bodies, later %d ms", admitted, worst, later)
	if worst > 400 || later > 250 {
		t.Errorf("a packet waits up to %d ms, and %d ms once the burst is known", worst, later)
	}
	if possible := ticks * bytesPerMS / (2 * body); admitted < possible*8/10 {
		t.Errorf("%d bodies of %d were admitted", admitted, possible)
	}
}
