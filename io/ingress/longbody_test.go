package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingsill/core/linkload"
	"redwingsill/core/uploads"
)

// A burst of uploads through a host with a narrow link made short requests wait a second or more, since all bodies were read, also
// those of requests that were then refused. Refused callers must get their 503 with a Retry-After, their requests must not have
// run, and most of their bodies must not cross the link.
func TestBurstOfUploadsLeavesShortRequestsInTime(t *testing.T) {
	const uploadCount, size, mbps = 40, 60_000, 10
	backend := newBackend(t, func(c net.Conn, r *http.Request, _ string) bool { return okAfter(c, r, "") })
	link := &narrowLink{bytesPerSecond: mbps * 1e6 / 8}
	h := newBoundedHost(t, 32<<20, uploads.New(linkload.New(mbps)), &fakeBackend{listener: link.listen(t, backend.listener.Addr().String())})
	h.address = link.listen(t, h.address).Addr().String()
	var all sync.WaitGroup
	var mu sync.Mutex
	var short []time.Duration
	served, refused := 0, 0
	for i := range uploadCount {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			c, id := h.dial(t), fmt.Sprint("upload", i)
			_ = c.Conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
			go func() { _, _ = io.WriteString(c, text("POST", id, 0, strings.Repeat("x", size))) }() // fails after a refusal
			status, header, _ := c.receive()
			_ = c.Close()
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == 200 && backend.count(id) == 1:
				served++
			case status == 503 && err == nil && after >= 0.05 && backend.count(id) == 0:
				refused++
			default:
				t.Errorf("%s: status %d, %v, runs %d", id, status, header, backend.count(id))
			}
		})
	}
	for i := range 80 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			began := time.Now()
			c := h.dial(t)
			c.send(text("GET", fmt.Sprint("short", i), 0, ""))
			if status, _, body := c.receive(); status != 200 {
				t.Errorf("short request %d: status %d, %q", i, status, body)
			}
			mu.Lock()
			defer mu.Unlock()
			short = append(short, time.Since(began))
		})
	}
	all.Wait()
	slices.Sort(short)
	crossed, read := link.carried.Load()-int64(served)*2*size, h.read.Load()-int64(served)*size
	t.Logf("%d served, %d refused, for which %d bytes crossed the link and %d were read; short requests took %v (p50), %v (p90)", served, refused,
		crossed, read, short[len(short)/2], short[len(short)*9/10])
	if short[len(short)/2] > 300*time.Millisecond || short[len(short)*9/10] > 700*time.Millisecond {
		t.Errorf("short requests took %v (p50) and %v (p90)", short[len(short)/2], short[len(short)*9/10])
	}
	if served < 10 || refused < 5 {
		t.Errorf("%d uploads were served and %d refused", served, refused)
	}
	if crossed > int64(refused)*size*3/4 || read > int64(refused+len(short))*5<<10 { // the buffer for a head has 4 KB
		t.Errorf("for %d refused bodies %d bytes crossed the link and %d were read", refused, crossed, read)
	}
	if rest := h.LinkBytes(); rest != 0 {
		t.Errorf("%.0f bytes still count as under way", rest)
	}
}

// Without a known link, as in earlier deployments, nothing is refused for it.
func TestUnknownLinkRefusesNoBody(t *testing.T) {
	h := newEntryHost(t, 32<<20, newBackend(t, okAfter))
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			c, id := h.dial(t), fmt.Sprint("upload", i)
			c.send(text("POST", id, 100*time.Millisecond, strings.Repeat("x", 100_000)))
			if status, _, body := c.receive(); status != http.StatusOK {
				t.Errorf("%s: status %d, %.80q", id, status, body)
			}
		})
	}
	all.Wait()
}
