package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/announcements"
	"redwingsill/core/attemptresult"
	"redwingsill/core/backendservice"
	"redwingsill/core/destination"
	"redwingsill/core/directory"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/notification"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/roster"
	"redwingsill/core/routetable"
	"redwingsill/core/routing"
	"redwingsill/core/rule"
	"redwingsill/core/uploads"
	"redwingsill/io/bodybudget"
	"redwingsill/io/datagram"
	"redwingsill/io/forward"
	"redwingsill/io/headers"
	"redwingsill/io/ingress"
	"redwingsill/io/origin"
	"redwingsill/io/slotclient"
	"redwingsill/io/slotserver"
)

var names = headers.Names{AttemptID: "X-Attempt", Deadline: "X-Deadline", Seal: "X-Seal", ExpectInstance: "X-Expect", InstanceID: "X-Instance",
	Load: "X-Load", NotRun: "X-Not-Run", Key: "X-Key", Handover: "X-Handover"}

type noMetrics struct{}

func (noMetrics) ObserveRequest(string, int, string, time.Duration) {}
func (noMetrics) CountAttempt(string, attemptresult.Status)         {}
func (noMetrics) CountInvalidResponse(string)                       {}
func (noMetrics) CountRefusedBody(string, string)                   {}

// repeatingServer is a faulty backend server: it answers the first request without running it, and writes a copy of that answer before
// its response to the next request on the same connection.
type repeatingServer struct {
	address string
	refusal string
	mu      sync.Mutex
	// arrivals counts the requests that arrived, and runs those that were run.
	arrivals, runs int
}

func newRepeatingServer(t *testing.T, refusal string) *repeatingServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &repeatingServer{address: listener.Addr().String(), refusal: refusal}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	earlier := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(names.AttemptID)
		if s.isFirst() {
			earlier = fmt.Sprintf(s.refusal, id)
			_, _ = io.WriteString(c, earlier)
			continue
		}
		_, _ = io.WriteString(c, earlier)
		time.Sleep(50 * time.Millisecond) // the request runs
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", names.AttemptID, id)
	}
}

// isFirst counts an arrival, and a run unless it is the first one.
func (s *repeatingServer) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	if s.arrivals > 1 {
		s.runs++
	}
	return s.arrivals == 1
}

func (s *repeatingServer) countRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// newFrontEnd returns the URL of a front end with the route a.example/ to service s, which has one backend server. The
// server owns all keys if the service is sharded. The front end retries at most the given number of times.
func newFrontEnd(t *testing.T, address string, isSharded, isIdempotent bool, retries float64) string {
	server := instance.Instance{ID: "i-1", Service: "s", Address: address, DataCentre: "ilo", Slots: 2}
	return newFrontEndOf(t, []instance.Instance{server}, roster.New(server), isSharded, isIdempotent, retries)
}

// newFrontEndOf returns the URL of a front end as newFrontEnd does, whose slot server knows the given backend servers. The forwarder knows
// those of a roster. The first server owns all keys if the service is sharded.
func newFrontEndOf(t *testing.T, servers []instance.Instance, known roster.Roster, isSharded, isIdempotent bool, retries float64) string {
	return newFrontEndWithin(t, &bodybudget.BodyBudget{}, servers, known, isSharded, isIdempotent, retries)
}

// newFrontEndWithin returns the URL of a front end as newFrontEndOf does, which reads responses within a budget.
func newFrontEndWithin(t *testing.T, bodies *bodybudget.BodyBudget, servers []instance.Instance, known roster.Roster, isSharded, isIdempotent bool,
	retries float64) string {
	log := slog.New(slog.DiscardHandler)
	slots := slotserver.New(time.Now)
	slots.SetService("s", isSharded, servers)
	if isSharded {
		slots.SetKeys("s", keymap.New(holding.Holding{Range: keyrange.Range{To: keyrange.MaxKey}, Owner: servers[0].Incarnation(), Fence: 1}), nil)
	}
	socket, closeSocket, err := datagram.New("127.0.0.1:0", time.Now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeSocket)
	hosts := rcu.New(directory.Directory{}.With("h", netip.MustParseAddrPort("127.0.0.1:9"), "ilo", 1))
	slotClient := slotclient.New("h", 1, func() bool { return true }, func() reachability.Reachability { return reachability.Reachability{} },
		func(netip.AddrPort, notification.ServerAnnounced) {}, slots, socket, hosts, time.Now, log)
	routes := rcu.New(routing.Routing{Version: 1, Services: map[string]backendservice.BackendService{"s": {Name: "s", IsSharded: isSharded}},
		Table: routetable.New(rule.Rule{Name: "a", Host: "a.example", Prefix: "/", IsIdempotent: isIdempotent, Timeout: 2 * time.Second,
			Objective: time.Second, MaxAttempts: 2, Destinations: []destination.Destination{{Service: "s", Weight: 1}}})})
	client, closeClient := origin.NewWithin(bodies, names, time.Now)
	t.Cleanup(closeClient)
	f := forward.New("ilo", forward.RetryBudget{Window: 10 * time.Second, Extra: retries}, routes, rcu.New(known), hosts,
		rcu.New(announcements.Announcements{}), func(string, instance.Instance, announcement.Announcement) {}, slotClient, client, noMetrics{}, time.Now, log)
	frontEnd := httptest.NewServer(ingress.New(names, 1<<20, uploads.Uploads{}, noMetrics{}, routes, f, time.Now, log))
	t.Cleanup(frontEnd.Close)
	return frontEnd.URL
}

// send sends a request to a front end, and returns the status, the header and the body of the response.
func send(t *testing.T, method, url, attemptID string) (int, http.Header, string) {
	r, err := http.NewRequest(method, url+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set(names.AttemptID, attemptID)
	r.Header.Set(names.Key, "7")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, string(body)
}

func TestRepeatedRefusalIsNoResponseToTheRetry(t *testing.T) {
	refusals := map[string]string{
		"full":      "HTTP/1.1 503 X\r\nX-Attempt: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failed":    "HTTP/1.1 500 X\r\nX-Attempt: %s\r\nContent-Length: 0\r\n\r\n",
		"not owner": "HTTP/1.1 421 X\r\nX-Attempt: %s\r\nX-Not-Run: 1\r\nX-Instance: i-1\r\nContent-Length: 0\r\n\r\n",
	}
	for _, c := range []struct {
		refusal                 string
		isSharded, isIdempotent bool
		retries                 float64
	}{
		{"full", true, false, 1}, {"full", true, true, 1}, {"full", true, false, 9}, {"full", true, true, 9},
		{"not owner", true, false, 1}, {"not owner", true, true, 1}, {"not owner", true, false, 9}, {"not owner", true, true, 9},
		{"not owner", false, false, 1}, {"not owner", false, true, 1}, {"not owner", false, false, 9}, {"not owner", false, true, 9},
		{"failed", true, true, 1},
	} {
		t.Run(fmt.Sprintf("%s, sharded %v, idempotent %v, retries %v", c.refusal, c.isSharded, c.isIdempotent, c.retries), func(t *testing.T) {
			t.Parallel()
			server := newRepeatingServer(t, refusals[c.refusal])
			status, _, body := send(t, http.MethodPost, newFrontEnd(t, server.address, c.isSharded, c.isIdempotent, c.retries), "one")
			if runs := server.countRuns(); status != http.StatusOK || body != "ran" || runs != 1 {
				t.Errorf("the caller got %d %q and the server ran the request %d times, want 200 \"ran\" and 1 run", status, body, runs)
			}
		})
	}
}

func TestHeadResponseKeepsItsLength(t *testing.T) {
	for _, length := range []string{"5", ""} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
		})}
		t.Cleanup(func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }() // ends when the server is closed
		status, header, _ := send(t, http.MethodHead, newFrontEnd(t, listener.Addr().String(), false, true, 1), "one")
		if status != http.StatusOK || header.Get("Content-Length") != length {
			t.Errorf("the caller got %d with the length %q, want 200 with %q", status, header.Get("Content-Length"), length)
		}
	}
}
