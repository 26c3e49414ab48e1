package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingsill/core/limits"
	"redwingsill/io/http1"
)

// testLimits are longer than any test takes, so that only tests of the limits reach them.
var testLimits = limits.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second}

// start serves a handler, and returns the server and its address.
func start(t testing.TB, handler http.Handler, l limits.Limits) (*http1.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := http1.New(handler, func() limits.Limits { return l }, slog.New(slog.DiscardHandler))
	_, stop := s.Serve(context.Background(), listener)
	t.Cleanup(stop)
	return s, listener.Addr().String()
}

// client is a caller's connection.
type client struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{Conn: c, t: t, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the next response and its body.
func (c *client) receive(method string) (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatalf("no whole response: %v", err)
	}
	return response, string(body)
}

// expectEnd fails unless the server closes the connection without sending anything more.
func (c *client) expectEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		c.t.Errorf("instead of the end of the connection came %q, error %v", rest, err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// gets returns n pipelined requests with the paths /0, /1 and so on.
func gets(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(get("/" + strconv.Itoa(i)))
	}
	return b.String()
}

func write(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text) }

// eventually fails unless the condition is met within 3 s.
func eventually(t testing.TB, what string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !isMet(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 3 s: %s", what)
		}
	}
}

// Answers of pipelined requests must come in the order of the requests, whichever is ready first, each with its own body.
// The requests must be at work at the same time: net/http's server would take the sum of their times.
func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	for _, n := range []int{1, 2, 5, 16, 50} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			var running, most atomic.Int64
			_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := running.Add(1)
				defer running.Add(-1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				i, _ := strconv.Atoi(r.URL.Path[1:])
				time.Sleep(time.Duration(20+(n-i)%7*5) * time.Millisecond)
				write(w, strings.Repeat(r.URL.Path, 1+i*97))
			}), testLimits)
			c := dial(t, address)
			go func() { _, _ = io.WriteString(c, gets(n)) }()
			for i := range n {
				_, body := c.receive("GET")
				if want := strings.Repeat("/"+strconv.Itoa(i), 1+i*97); body != want {
					t.Fatalf("response %d is %.40q, want %.40q", i, body, want)
				}
			}
			if want := min(int64(n), 10); most.Load() < want {
				t.Errorf("at most %d of %d requests ran at the same time, want %d", most.Load(), n, want)
			}
			if most.Load() > 17 { // one handler may end while the next request is read
				t.Errorf("%d requests ran at the same time", most.Load())
			}
			c.send(get("/0")) // the connection is still usable
			c.receive("GET")
		})
	}
}

// What is sent before the end of a connection, in any pieces, must give the same requests.
func TestPiecesGiveTheSameRequests(t *testing.T) {
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		write(w, fmt.Sprintf("%s%s%d%v", r.Method, r.URL.Path, len(body), err))
	}), testLimits)
	text := get("/a") + post("/b", strings.Repeat("GET /x HTTP/1.1\r\n\r\n", 3)) +
		"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n" + post("/d", "") + get("/e")
	want := []string{"GET/a0<nil>", "POST/b57<nil>", "POST/c5<nil>", "POST/d0<nil>", "GET/e0<nil>"}
	for _, size := range []int{1, 2, 3, 7, 50, len(text)} {
		c := dial(t, address)
		go func() {
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				_, _ = io.WriteString(c, rest[:min(size, len(rest))])
			}
		}()
		for _, w := range want {
			if _, body := c.receive("GET"); body != w {
				t.Fatalf("in pieces of %d: %q, want %q", size, body, w)
			}
		}
	}
}

// A handler that panics has no response. The responses before must arrive, the connection must end, and the requests behind
// must be cancelled, since the caller sends them again.
func TestPanicEndsAPipelineAndCancelsWhatIsBehind(t *testing.T) {
	var cancelled atomic.Int64
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			time.Sleep(50 * time.Millisecond)
			panic("a fault")
		case "/0":
			write(w, "zero")
		default:
			<-r.Context().Done()
			cancelled.Add(1)
		}
	}), testLimits)
	c := dial(t, address)
	c.send(gets(4))
	if _, body := c.receive("GET"); body != "zero" {
		t.Errorf("got %q", body)
	}
	c.expectEnd()
	eventually(t, "requests behind the panic are cancelled", func() bool { return cancelled.Load() == 2 })
}

// A handler that promises more bytes than it writes has no whole response. It must not look complete.
func TestResponseShorterThanAnnouncedIsNotSent(t *testing.T) {
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		write(w, "short")
	}), testLimits)
	c := dial(t, address)
	c.send(get("/"))
	c.expectEnd()
}

// Errors of a request come in order, after the responses to the requests before, and close the connection. Nothing behind
// them may pass for a request.
func TestNothingBehindAMalformedRequestIsServed(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n": 400, "GET / HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n": 400, "nonsense\r\n\r\n": 400,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n": 400, "GET / HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd": 400, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc": 400, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n": 501,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n": 501,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n":         400,
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n":                                                  505, "POST / HTTP/1.1\r\nHost: a\r\nExpect: more\r\nContent-Length: 1\r\n\r\nx": 417,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n": 431} {
		var served atomic.Int64
		_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			time.Sleep(20 * time.Millisecond)
			write(w, r.URL.Path)
		}), testLimits)
		c := dial(t, address)
		c.send(gets(2))
		c.send(text + get("/behind"))
		for i := range 2 {
			if _, body := c.receive("GET"); body != "/"+strconv.Itoa(i) {
				t.Errorf("before %.60q: %q", text, body)
			}
		}
		response, _ := c.receive("GET")
		if response.StatusCode != want || !response.Close {
			t.Errorf("%.60q: status %d, closes %v, want %d", text, response.StatusCode, response.Close, want)
		}
		c.expectEnd()
		if served.Load() != 2 {
			t.Errorf("%.60q: %d requests reached the handler, want 2", text, served.Load())
		}
	}
}

// A message with both a length and chunks may be read as one request by this host and as two by another. Only the chunks may
// count, and they must end where the next request begins.
func TestLengthBesideChunksSmugglesNoRequest(t *testing.T) {
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		write(w, r.URL.Path+string(body)+r.Header.Get("Content-Length"))
	}), testLimits)
	c := dial(t, address)
	c.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/b"))
	for _, want := range []string{"/aabc", "/b"} {
		if _, body := c.receive("GET"); body != want {
			t.Errorf("got %q, want %q", body, want)
		}
	}
}

// Once a host drains, each request that was read is answered, and only the last response closes the connection: a caller
// takes what it sent behind such a response for unread, but these requests are at work.
func TestDrainAnswersAllRequestsThatWereRead(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int64
	s, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		<-release
		write(w, r.URL.Path)
	}), testLimits)
	c := dial(t, address)
	c.send(gets(5))
	eventually(t, "5 requests at work", func() bool { return served.Load() == 5 })
	s.Drain()
	close(release)
	for i := range 5 {
		response, body := c.receive("GET")
		if body != "/"+strconv.Itoa(i) || response.Close != (i == 4) {
			t.Errorf("response %d: %q, closes %v", i, body, response.Close)
		}
	}
	c.expectEnd()
}

// Shutdown closes idle connections and waits for requests at work.
func TestShutdownCutsNoRequest(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		write(w, "done")
	}), testLimits)
	idle, busy := dial(t, address), dial(t, address)
	busy.send(get("/"))
	<-entered
	ended := make(chan struct{})
	go func() {
		s.Shutdown(context.Background())
		close(ended)
	}()
	idle.expectEnd()
	select {
	case <-ended:
		t.Error("Shutdown did not wait for the request at work")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if response, body := busy.receive("GET"); body != "done" || !response.Close {
		t.Errorf("got %q, closes %v", body, response.Close)
	}
	busy.expectEnd()
	<-ended
}

// A server that ends must not wait for callers that send nothing.
func TestEndClosesSilentConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := http1.New(http.NotFoundHandler(), func() limits.Limits { return limits.Limits{} }, slog.New(slog.DiscardHandler))
	_, stop := s.Serve(context.Background(), listener)
	for range 20 {
		dial(t, listener.Addr().String())
	}
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Error("the server did not end within 3 s")
	}
}

// Work for a caller that has left is lost. It must be noticed at each point: with one request, with further ones at work, and
// with further ones that wait unread because too many are at work. net/http's server stops watching a connection once the first
// byte of the next request is there.
func TestCallerThatLeavesCancelsItsRequests(t *testing.T) {
	for _, n := range []int{1, 2, 5, 16, 30} {
		for _, leave := range []struct {
			name string
			now  func(*client)
		}{
			{"close", func(c *client) { _ = c.Close() }},
			{"half close", func(c *client) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
			{"reset", func(c *client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() }},
		} {
			t.Run(fmt.Sprint(leave.name, n), func(t *testing.T) {
				var started, cancelled atomic.Int64
				_, address := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					started.Add(1)
					<-r.Context().Done()
					cancelled.Add(1)
				}), testLimits)
				c := dial(t, address)
				c.send(gets(n))
				want := min(int64(n), 16)
				eventually(t, "requests at work", func() bool { return started.Load() == want })
				leave.now(c)
				began := time.Now()
				eventually(t, "requests cancelled", func() bool { return cancelled.Load() == want })
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("cancelled after %s", took)
				}
				if started.Load() != want {
					t.Errorf("%d requests were started, %d of them for a caller that had left", started.Load(), started.Load()-want)
				}
			})
		}
	}
}

// A request that must not run twice waits for its turn: an earlier response may close the connection, and the caller then
// sends the request again. What is behind it does not wait.
func TestRequestThatMustNotRunTwiceWaitsForItsTurn(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		t.Run(fmt.Sprint(isBroken), func(t *testing.T) {
			release := make(chan struct{})
			var ran, behind, refused atomic.Int64
			_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/0":
					<-release
					if isBroken {
						panic("a fault")
					}
				case "/1":
					if !http1.IsAhead(r.Context()) {
						t.Error("the second request does not count as ahead")
					}
					if !http1.AwaitTurn(r.Context()) {
						refused.Add(1)
						return
					}
					ran.Add(1)
				default:
					behind.Add(1)
				}
				write(w, r.URL.Path)
			}), testLimits)
			c := dial(t, address)
			c.send(gets(3))
			eventually(t, "the request behind runs", func() bool { return behind.Load() == 1 })
			if ran.Load() != 0 {
				t.Error("the request ran before its turn")
			}
			close(release)
			if isBroken {
				c.expectEnd()
				eventually(t, "the request learns that it must not run", func() bool { return refused.Load() == 1 })
			} else {
				for i := range 3 {
					if _, body := c.receive("GET"); body != "/"+strconv.Itoa(i) {
						t.Errorf("response %d is %q", i, body)
					}
				}
			}
			if got := ran.Load(); (got == 1) == isBroken {
				t.Errorf("the request ran %d times", got)
			}
		})
	}
}

// A response before the body is read must reach the caller, though the caller still sends, and nothing of the body may pass
// for a request.
func TestRefusalBeforeTheBodyReachesTheCaller(t *testing.T) {
	for _, size := range []int{10, 100 << 10, 2 << 20} {
		var served atomic.Int64
		_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			write(w, "no")
		}), testLimits)
		c := dial(t, address)
		body := strings.Repeat(get("/smuggled"), size/len(get("/smuggled"))+1)
		sent := make(chan struct{})
		go func() {
			_, _ = io.WriteString(c, post("/", body)+get("/behind"))
			close(sent)
		}()
		response, text := c.receive("POST")
		if response.StatusCode != 503 || text != "no" || !response.Close {
			t.Errorf("%d bytes: status %d, %q, closes %v", size, response.StatusCode, text, response.Close)
		}
		c.expectEnd()
		<-sent
		if served.Load() != 1 {
			t.Errorf("%d bytes: %d requests reached the handler", size, served.Load())
		}
	}
}

// A body that stops in the middle must fail, with the read deadline that the handler set or when the caller leaves.
func TestBodyThatStopsIsNoWholeBody(t *testing.T) {
	failed := make(chan error, 1)
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := io.ReadAll(r.Body)
		failed <- err
		w.WriteHeader(http.StatusRequestTimeout)
	}), testLimits)
	part := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"
	slow := dial(t, address)
	slow.send(part)
	if response, _ := slow.receive("POST"); response.StatusCode != 408 || !response.Close {
		t.Errorf("status %d, closes %v", response.StatusCode, response.Close)
	}
	if err := <-failed; err == nil {
		t.Error("the slow body did not fail")
	}
	left := dial(t, address)
	left.send(part)
	_ = left.Close()
	if err := <-failed; err == nil {
		t.Error("the body of a caller that has left did not fail")
	}
}

// A caller that expects 100 Continue sends its body only after that, and it must come in its turn.
func TestContinueComesInItsTurn(t *testing.T) {
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			time.Sleep(50 * time.Millisecond)
		}
		body, _ := io.ReadAll(r.Body)
		write(w, r.URL.Path+string(body))
	}), testLimits)
	c := dial(t, address)
	c.send(gets(1) + "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	if _, body := c.receive("GET"); body != "/0" {
		t.Errorf("got %q", body)
	}
	if response, _ := c.receive("POST"); response.StatusCode != 100 {
		t.Errorf("status %d, want 100", response.StatusCode)
	}
	c.send("abc")
	if _, body := c.receive("POST"); body != "/babc" {
		t.Errorf("got %q", body)
	}
}

// Methods and statuses without a body must not shift the responses behind.
func TestResponsesWithoutABodyDoNotShiftTheNext(t *testing.T) {
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.Header().Set("Content-Length", "7")
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "5")
			write(w, "hello")
		}
	}), testLimits)
	c := dial(t, address)
	c.send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + get("/204") + get("/304") + get("/"))
	for _, want := range []struct {
		method, body, length string
		status               int
	}{{"HEAD", "", "5", 200}, {"GET", "", "", 204}, {"GET", "", "7", 304}, {"GET", "hello", "5", 200}} {
		response, body := c.receive(want.method)
		if response.StatusCode != want.status || body != want.body || response.Header.Get("Content-Length") != want.length {
			t.Errorf("status %d, body %q, length %q, want %v", response.StatusCode, body, response.Header.Get("Content-Length"), want)
		}
	}
	old := dial(t, address)
	old.send("GET / HTTP/1.0\r\n\r\n")
	if response, body := old.receive("GET"); body != "hello" || !response.Close {
		t.Errorf("to a caller of version 1.0: %q, closes %v", body, response.Close)
	}
	old.expectEnd()
}

// A caller may be idle for the idle timeout and take the header timeout for the head of each request, no longer.
func TestSilentCallersAreDisconnectedInTime(t *testing.T) {
	l := limits.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	_, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(600 * time.Millisecond)
		}
		write(w, r.URL.Path)
	}), l)
	expectEndAfter := func(name string, c *client, want time.Duration) {
		t.Helper()
		began := time.Now()
		c.expectEnd()
		if took := time.Since(began); took < want-50*time.Millisecond || took > want+300*time.Millisecond {
			t.Errorf("%s: the connection ended after %s, want %s", name, took, want)
		}
	}
	silent := dial(t, address)
	expectEndAfter("no request", silent, l.HeaderTimeout)
	for _, path := range []string{"/", "/slow"} {
		c := dial(t, address)
		c.send(get(path))
		c.receive("GET")
		time.Sleep(l.IdleTimeout * 4 / 5)
		c.send(get("/"))
		c.receive("GET")
		c.send("GET / HT")
		expectEndAfter("half a head after "+path, c, l.HeaderTimeout)
		c = dial(t, address)
		c.send(get(path))
		c.receive("GET")
		expectEndAfter("idle after "+path, c, l.IdleTimeout)
	}
}

// Responses that wait for an earlier one use memory. Above a bound no further requests are read ahead, on any connection, but
// each connection still has its first request served.
func TestHeldResponsesBoundReadAhead(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	long := bytes.Repeat([]byte("x"), 1<<20)
	s, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		if r.URL.Path == "/0" {
			<-release
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(long)))
		_, _ = w.Write(long)
	}), testLimits)
	const connections, each = 8, 6
	var all []*client
	for range connections {
		c := dial(t, address)
		all = append(all, c)
		c.send(get("/0"))
	}
	eventually(t, "the first requests are at work", func() bool { return started.Load() == connections })
	for _, c := range all {
		for i := 1; i < each; i++ {
			c.send(get("/" + strconv.Itoa(i)))
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if ahead := s.ReadAhead(); ahead < 8 || ahead > 8+connections {
		t.Errorf("%d requests were read ahead, with responses of 1 MB each", ahead)
	}
	first := dial(t, address)
	first.send(get("/1"))
	first.receive("GET")
	close(release)
	for _, c := range all {
		for range each {
			if _, body := c.receive("GET"); len(body) != len(long) {
				t.Fatalf("a response has %d bytes", len(body))
			}
		}
	}
	eventually(t, "no request counts as read ahead", func() bool { return s.ReadAhead() == 0 })
}
