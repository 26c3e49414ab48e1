package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/announcements"
	"redwingsill/core/attemptresult"
	"redwingsill/core/backendservice"
	"redwingsill/core/destination"
	"redwingsill/core/directory"
	"redwingsill/core/instance"
	"redwingsill/core/limits"
	"redwingsill/core/notification"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/roster"
	"redwingsill/core/routetable"
	"redwingsill/core/routing"
	"redwingsill/core/rule"
	"redwingsill/core/uploads"
	"redwingsill/io/datagram"
	"redwingsill/io/forward"
	"redwingsill/io/headers"
	"redwingsill/io/ingress"
	"redwingsill/io/origin"
	"redwingsill/io/slotclient"
	"redwingsill/io/slotserver"
	"redwingsill/io/tcp"
)

var names = headers.Names{AttemptID: "X-Attempt", Deadline: "X-Deadline", Seal: "X-Seal", ExpectInstance: "X-Expect", InstanceID: "X-Instance",
	Load: "X-Load", NotRun: "X-Not-Run", Key: "X-Key", Handover: "X-Handover", Leaving: "X-Leaving"}

type noMetrics struct{}

func (noMetrics) ObserveRequest(string, int, string, time.Duration) {}
func (noMetrics) CountAttempt(string, attemptresult.Status)         {}
func (noMetrics) CountInvalidResponse(string)                       {}
func (noMetrics) CountRefusedBody(string, string)                   {}

// entryHost is the front end of a host with one backend server. The routes of a.example are /get/, whose requests may run more than
// once, and /post/, whose requests may not.
type entryHost struct {
	*ingress.Ingress
	forwarder *forward.Forwarder
	address   string
	backend   *fakeBackend
	// read counts the bytes that the host has read from callers.
	read atomic.Int64
}

func newEntryHost(t *testing.T, bodyMemory int64, backend *fakeBackend) *entryHost {
	return newBoundedHost(t, bodyMemory, uploads.Uploads{}, backend)
}

// newBoundedHost is like newEntryHost for a host whose link is known.
func newBoundedHost(t *testing.T, bodyMemory int64, initial uploads.Uploads, backend *fakeBackend) *entryHost {
	log := slog.New(slog.DiscardHandler)
	server := instance.Instance{ID: "i-1", Service: "s", Address: backend.listener.Addr().String(), DataCentre: "ilo", Slots: 50}
	slots := slotserver.New(time.Now)
	slots.SetService("s", false, []instance.Instance{server})
	socket, closeSocket, err := datagram.New("127.0.0.1:0", time.Now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeSocket)
	hosts := rcu.New(directory.Directory{}.With("h", netip.MustParseAddrPort("127.0.0.1:9"), "ilo", 1))
	slotClient := slotclient.New("h", 1, func() bool { return true }, func() reachability.Reachability { return reachability.Reachability{} },
		func(netip.AddrPort, notification.ServerAnnounced) {}, slots, socket, hosts, time.Now, log)
	route := func(prefix string, isIdempotent bool) rule.Rule {
		return rule.Rule{Name: prefix, Host: "a.example", Prefix: prefix, IsIdempotent: isIdempotent, Timeout: 3 * time.Second,
			Objective: 300 * time.Millisecond, MaxAttempts: 1, Destinations: []destination.Destination{{Service: "s", Weight: 1}}}
	}
	routes := rcu.New(routing.Routing{Version: 1, Services: map[string]backendservice.BackendService{"s": {Name: "s", MaxConnections: 100}},
		Table:  routetable.New(route("/get/", true), route("/post/", false)),
		Limits: limits.Limits{BodyBytes: 8 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}})
	client, closeClient := origin.New(names, time.Now)
	t.Cleanup(closeClient)
	f := forward.New("ilo", forward.RetryBudget{Window: 10 * time.Second}, routes, rcu.New(roster.New(server)), hosts,
		rcu.New(announcements.Announcements{}), func(string, instance.Instance, announcement.Announcement) {}, slotClient, client, noMetrics{}, time.Now, log)
	callers := net.ListenConfig{}
	if initial.IsBounded() {
		callers.Control = tcp.ReceiveBuffer(16 << 10) // as package platform does
	}
	listener, err := callers.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &entryHost{Ingress: ingress.New(names, bodyMemory, initial, noMetrics{}, routes, f, time.Now, log), forwarder: f, address: listener.Addr().String(), backend: backend}
	_, stop := h.Serve(context.Background(), countingListener{listener, &h.read})
	t.Cleanup(stop)
	return h
}

// fakeBackend answers each request as the test says, and records the IDs of the requests that it has read.
type fakeBackend struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request, body string) (keep bool)
	mu       sync.Mutex
	ids      []string
}

// newBackend returns a backend server that calls answer for each request. If that returns false, it closes the connection.
func newBackend(t *testing.T, answer func(c net.Conn, r *http.Request, body string) bool) *fakeBackend {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &fakeBackend{listener: listener, answer: answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *fakeBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.ids = append(b.ids, r.Header.Get("X-Attempt"))
		b.mu.Unlock()
		if !b.answer(c, r, string(body)) {
			return
		}
	}
}

// count returns how often the request with an ID has arrived, or all requests if the ID is empty.
func (b *fakeBackend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, other := range b.ids {
		if id == "" || id == other {
			n++
		}
	}
	return n
}

// ok writes a whole response that names the request.
func ok(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Attempt")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s%s", id, len(id)+len(body), id, body)
	return err == nil
}

// okAfter writes a whole response after the time in the header X-Work.
func okAfter(c net.Conn, r *http.Request, body string) bool {
	if work, err := time.ParseDuration(r.Header.Get("X-Work")); err == nil {
		time.Sleep(work)
	}
	return ok(c, r, body)
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (h *entryHost) dial(t *testing.T) *caller {
	c, err := net.Dial("tcp4", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	return &caller{Conn: c, t: t, reader: bufio.NewReader(c)}
}

// text returns a request, which takes the given time at the backend server.
func text(method, id string, work time.Duration, body string) string {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt: %s\r\nX-Work: %s\r\n%s\r\n%s", method, strings.ToLower(method), id, work, length, body)
}

func (c *caller) send(all ...string) {
	if _, err := io.WriteString(c, strings.Join(all, "")); err != nil {
		c.t.Errorf("could not send: %v", err)
	}
}

// receive returns the status, the header and the body of the next response. The status is 0 if the connection ended instead.
func (c *caller) receive() (int, http.Header, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, "broken off: " + err.Error()
	}
	if response.Close {
		response.Header.Set("Connection", "close") // the parser removes the field
	}
	return response.StatusCode, response.Header, string(body)
}

// Requests that callers pipeline must reach backend servers together, and each response its own request.
func TestPipelinedRequestsAreForwardedTogether(t *testing.T) {
	h := newEntryHost(t, 1<<20, newBackend(t, okAfter))
	c := h.dial(t)
	began := time.Now()
	var all []string
	for i := range 10 {
		all = append(all, text("GET", fmt.Sprint("id", i), time.Duration(300-20*i)*time.Millisecond, ""))
	}
	c.send(all...)
	for i := range 10 {
		if status, _, body := c.receive(); status != 200 || body != fmt.Sprint("id", i) {
			t.Fatalf("response %d: status %d, %q", i, status, body)
		}
	}
	if took := time.Since(began); took > 900*time.Millisecond {
		t.Errorf("10 requests of up to 300 ms took %s", took)
	}
}

// A caller sends again what it sent behind a response that closes the connection, whatever its kind. So a request that must not
// run twice may reach a backend server only after all responses before it.
func TestUnrepeatableRequestInAPipelineWaits(t *testing.T) {
	h := newEntryHost(t, 1<<20, newBackend(t, okAfter))
	c := h.dial(t)
	c.send(text("GET", "first", 300*time.Millisecond, ""), text("POST", "order", 0, "lot-7"), text("GET", "third", 0, ""))
	time.Sleep(150 * time.Millisecond)
	if h.backend.count("order") != 0 || h.backend.count("third") > 1 {
		t.Error("the order ran before the response to the request before it")
	}
	for _, want := range []string{"first", "orderlot-7", "third"} {
		if status, _, body := c.receive(); status != 200 || body != want {
			t.Errorf("status %d, %q, want %q", status, body, want)
		}
	}
	left := h.dial(t)
	left.send(text("GET", "slow", 300*time.Millisecond, ""), text("POST", "never", 0, "lot-8"))
	time.Sleep(100 * time.Millisecond)
	_ = left.Close()
	time.Sleep(400 * time.Millisecond)
	if h.backend.count("never") != 0 {
		t.Error("an order ran whose caller had left before its turn")
	}
}

// A backend server that stops in the middle of an answer and closes the connection has given no answer, wherever it stops: a
// caller must not get a success that is empty or short.
func TestAnswerThatBreaksOffIsNoSuccess(t *testing.T) {
	for name, answer := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\nContent-Length: 5\r\nX-Load: 1,0,2\r\n\r\nhello",
		"chunks":    "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\nConnection: close\r\n\r\nhello",
		"interim":   "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
		"old":       "HTTP/1.0 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\n\r\nhello",
	} {
		for _, ending := range []string{"close", "reset"} {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ending, isKept), func(t *testing.T) {
					cut := 0
					h := newEntryHost(t, 1<<20, newBackend(t, func(c net.Conn, r *http.Request, body string) bool {
						id := r.Header.Get("X-Attempt")
						if id == "kept" {
							return ok(c, r, body)
						}
						_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", id)[:cut])
						if ending == "reset" {
							time.Sleep(2 * time.Millisecond) // what was written arrives before the reset
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return false
					}))
					headEnd := strings.LastIndex(answer, "\r\n\r\n") + 4
					if name == "chunks" {
						headEnd = strings.Index(answer, "\r\n\r\n") + 4
					}
					whole := len(answer)
					for cut = 0; cut < whole; cut++ {
						if ending == "reset" && cut%5 != 0 {
							continue
						}
						isLengthless := name == "no length" || name == "old"
						if isLengthless && ending == "close" && cut >= headEnd {
							continue // nothing tells the caller that the body should go on
						}
						c := h.dial(t)
						if isKept {
							c.send(text("GET", "kept", 0, ""))
							if status, _, body := c.receive(); status != 200 {
								t.Fatalf("status %d, %q", status, body)
							}
						}
						c.send(text("GET", "ID", 0, ""))
						if status, header, body := c.receive(); status != 502 || header.Get("X-Seal") != "" {
							t.Errorf("cut after %d of %d bytes, %q: status %d, %q", cut, whole, answer[:cut], status, body)
						}
						_ = c.Close()
					}
				})
			}
		}
	}
}

// A host that is stopped must not take a request that it will cut. Requests come in each tenth of the grace, on new and on kept
// connections, of both kinds, with work that is shorter and longer than what is left. Each is answered by its backend server, or
// surely not run: refused with a promise, or its connection closed unread. Only one that was taken early and is at work at the very
// end may be cut.
func TestPlannedStopCutsNoRequestThatCameLate(t *testing.T) {
	const grace = 2 * time.Second
	for _, work := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			h := newEntryHost(t, 1<<20, newBackend(t, okAfter))
			began := time.Now()
			var group sync.WaitGroup
			var kept []*caller
			for range 22 {
				c := h.dial(t)
				c.send(text("GET", "before", 0, ""))
				c.receive()
				kept = append(kept, c)
			}
			lastRequest, stopAt := began.Add(grace*45/100), began.Add(grace*95/100)
			h.Drain(lastRequest, stopAt)
			h.forwarder.StopSending(stopAt.Add(-grace / 10))
			for tenth := range 11 {
				for i, method := range []string{"GET", "POST"} {
					for _, isKept := range []bool{true, false} {
						group.Go(func() {
							time.Sleep(time.Until(began.Add(grace * time.Duration(tenth) / 10)))
							c := kept[2*tenth+i]
							if !isKept {
								raw, err := net.Dial("tcp4", h.address)
								if err != nil {
									return // surely not run
								}
								defer func() { _ = raw.Close() }()
								_ = raw.SetDeadline(time.Now().Add(5 * time.Second))
								c = &caller{Conn: raw, t: t, reader: bufio.NewReader(raw)}
							}
							id := fmt.Sprint(method, tenth, isKept, work)
							sent := time.Now()
							if _, err := io.WriteString(c, text(method, id, work, "")); err != nil {
								return // surely not run
							}
							status, header, body := c.receive()
							runs := h.backend.count(id)
							wasEarly := sent.Before(lastRequest)
							switch {
							case status == 200 && runs == 1:
								if header.Get("Connection") != "close" {
									t.Errorf("%s: the response does not close the connection", id)
								}
							case status == 503 && runs == 0, status == 0 && runs == 0:
							case runs == 1 && wasEarly && sent.Add(work).After(stopAt):
							default:
								t.Errorf("%s sent at %s: status %d, %q, runs %d", id, sent.Sub(began), status, body, runs)
							}
						})
					}
				}
			}
			time.Sleep(time.Until(stopAt))
			h.CancelRequests()
			group.Wait()
		})
	}
}

// A request that waits for a slot until the end of the grace would reach a backend server only to be cut there. It must be
// refused, which promises that it has not run, while there is time.
func TestPlannedStopRefusesWhatStillWaitsForASlot(t *testing.T) {
	h := newEntryHost(t, 1<<20, newBackend(t, okAfter))
	busy := make([]*caller, 50) // all slots
	for i := range busy {
		busy[i] = h.dial(t)
		busy[i].send(text("POST", fmt.Sprint("busy", i), 900*time.Millisecond, ""))
	}
	time.Sleep(100 * time.Millisecond)
	waiting := h.dial(t)
	began := time.Now()
	waiting.send(text("POST", "waits", 0, ""))
	time.Sleep(50 * time.Millisecond)
	h.Drain(began.Add(400*time.Millisecond), began.Add(800*time.Millisecond))
	h.forwarder.StopSending(began.Add(500 * time.Millisecond))
	status, header, body := waiting.receive()
	if status != 503 || header.Get("Retry-After") == "" || h.backend.count("waits") != 0 {
		t.Errorf("status %d, %q, Retry-After %q, runs %d", status, body, header.Get("Retry-After"), h.backend.count("waits"))
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("refused after %s, want 500 ms", took)
	}
	for i, c := range busy {
		if status, _, _ := c.receive(); status != 200 {
			t.Errorf("request %d at work got status %d", i, status)
		}
	}
}

// Long bodies of slow callers take memory. Beyond the bound a body is refused before it is read, so that the refusal is sure, and
// requests without a body are still served.
func TestUploadsBoundTheirMemory(t *testing.T) {
	const memory = 1 << 20
	h := newEntryHost(t, memory, newBackend(t, ok))
	part := strings.Repeat("x", 50<<10)
	var slow []*caller
	for i := range 40 {
		c := h.dial(t)
		c.send(fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt: slow%d\r\nContent-Length: %d\r\n\r\n%s", i, 2*len(part), part))
		slow = append(slow, c)
	}
	time.Sleep(300 * time.Millisecond)
	if used := h.BodyBytes(); used > memory || used < memory/2 {
		t.Errorf("bodies use %d bytes, want at most %d and at least half of that", used, memory)
	}
	c := h.dial(t)
	c.send(text("GET", "beside", 0, ""))
	if status, _, body := c.receive(); status != 200 {
		t.Errorf("a request without a body got status %d, %q", status, body)
	}
	served, refused := 0, 0
	for i, c := range slow {
		_, _ = io.WriteString(c, part) // fails if the host has refused the body
		status, header, body := c.receive()
		id := fmt.Sprint("slow", i)
		switch {
		case status == 200 && body == id+part+part && h.backend.count(id) == 1:
			served++
		case status == 503 && header.Get("Retry-After") != "" && h.backend.count(id) == 0:
			refused++
		default:
			t.Errorf("%s: status %d, %.60q, runs %d", id, status, body, h.backend.count(id))
		}
	}
	if served < 5 || refused < 20 {
		t.Errorf("%d were served and %d refused of %d", served, refused, len(slow))
	}
	if used := h.BodyBytes(); used != 0 {
		t.Errorf("%d bytes still count as used", used)
	}
}

// A caller that stops in the middle of a body, or is too slow for its deadline, has sent no request: nothing may reach a backend
// server.
func TestRequestsWithoutAWholeBodyAreNotForwarded(t *testing.T) {
	h := newEntryHost(t, 1<<20, newBackend(t, ok))
	head := "POST /post/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt: %s\r\nX-Deadline: 300\r\n%s\r\n\r\n"
	for name, body := range map[string]string{"length": "Content-Length: 10", "chunks": "Transfer-Encoding: chunked"} {
		for _, ending := range []string{"silent", "half close", "close", "reset"} {
			id := name + ending
			c := h.dial(t)
			c.send(fmt.Sprintf(head, id, body), "5\r\nab")
			switch ending {
			case "half close":
				_ = c.Conn.(*net.TCPConn).CloseWrite()
			case "close":
				_ = c.Close()
			case "reset":
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			case "silent":
				began := time.Now()
				if status, header, _ := c.receive(); status != 408 || header.Get("Connection") != "close" || time.Since(began) > time.Second {
					t.Errorf("%s: status %d after %s", id, status, time.Since(began))
				}
			}
		}
	}
	time.Sleep(400 * time.Millisecond)
	if n := h.backend.count(""); n != 0 {
		t.Errorf("%d requests without a whole body reached the backend server", n)
	}
	if n := h.ActiveRequests(); n != 0 {
		t.Errorf("%d requests are still active", n)
	}
}
