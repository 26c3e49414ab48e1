package origin_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/io/headers"
	"redwingsill/io/origin"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Client")
}

var names = headers.Names{AttemptID: "X-Attempt", Deadline: "X-Deadline", Seal: "X-Seal", ExpectInstance: "X-Expect", InstanceID: "X-Instance",
	Load: "X-Load", NotRun: "X-Not-Run", Key: "X-Key", Handover: "X-Handover", Leaving: "X-Leaving"}

// fakeServer is a backend server that sends prepared responses byte for byte.
type fakeServer struct {
	instance instance.Instance
	// requests receives each request that was read.
	requests chan *http.Request
	// conns receives each accepted connection.
	conns chan net.Conn
}

// newFakeServer starts a server that sends the responses in order, one for each request of a connection, and then
// closes the connection. ATTEMPT is replaced by the attempt ID of the request; "silence" sends no response.
func newFakeServer(responses ...string) *fakeServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &fakeServer{instance: instance.Instance{ID: "i-1", Address: listener.Addr().String()}, requests: make(chan *http.Request, 20),
		conns: make(chan net.Conn, 20)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go s.serve(c, responses)
		}
	}()
	return s
}

func (s *fakeServer) serve(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, r.ContentLength)
		if _, err := fmt.Fscan(r.Body); err != nil && r.ContentLength > 0 {
			_, _ = r.Body.Read(body)
		}
		s.requests <- r
		if response == "silence" {
			time.Sleep(2 * time.Second)
			return
		}
		if _, err := c.Write([]byte(strings.ReplaceAll(response, "ATTEMPT", r.Header.Get("X-Attempt")))); err != nil {
			return
		}
	}
}

// response returns a response with a Content-Length and the attempt ID of the request.
func response(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt: ATTEMPT\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), head, body)
}

func newClient() *origin.Client {
	c, closeIdle := origin.New(names, time.Now)
	DeferCleanup(closeIdle)
	return c
}

// send sends a GET request with 600 ms to its deadline, over at most 4 connections.
func send(ctx context.Context, c *origin.Client, server *fakeServer, attemptID string) (*origin.Response, attemptresult.AttemptResult, error) {
	return c.Send(ctx, server.instance, origin.Request{Method: http.MethodGet, Target: "/a%2Fb?q=1", Host: "a.example", AttemptID: attemptID,
		Header:   http.Header{"X-Attempt": {attemptID}, "X-Other": {"1", "2"}, "Connection": {"X-Hop"}, "X-Hop": {"no"}, "X-Expect": {"spoofed"}},
		Deadline: time.Now().Add(600 * time.Millisecond)}, 4)
}

var _ = Describe("a request to a backend server", func() {
	It("carries the caller's header fields, the instance ID and the remaining time, and no hop-by-hop fields", func() {
		server := newFakeServer(response(200, "X-Load: 2,1,4\r\n", "hello"))
		got, result, err := send(context.Background(), newClient(), server, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got.Body)).To(Equal("hello"))
		Expect(result.Status).To(Equal(attemptresult.Answered))
		Expect([]int{result.Running, result.Waiting}).To(Equal([]int{2, 1}))
		r := <-server.requests
		Expect(r.RequestURI).To(Equal("/a%2Fb?q=1"))
		Expect(r.Host).To(Equal("a.example"))
		Expect(r.Header["X-Other"]).To(Equal([]string{"1", "2"}))
		Expect(r.Header["X-Expect"]).To(Equal([]string{"i-1"}))
		Expect(r.Header.Get("X-Hop")).To(BeEmpty())
		Expect(r.Header.Get("X-Deadline")).To(MatchRegexp(`^[45]\d\d$`))
	})

	It("reuses a connection", func() {
		server := newFakeServer(response(200, "", "a"), response(200, "", "b"))
		c := newClient()
		for range 2 {
			_, _, err := send(context.Background(), c, server, "x")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(server.conns).To(HaveLen(1))
	})

	DescribeTable("has a status that depends on the response", func(text string, want attemptresult.Status, hasResponse bool) {
		server := newFakeServer(text)
		got, result, err := send(context.Background(), newClient(), server, "one")
		Expect(result.Status).To(Equal(want))
		Expect(got != nil).To(Equal(hasResponse))
		Expect(err == nil).To(Equal(hasResponse))
	},
		Entry("answered", response(200, "", "x"), attemptresult.Answered, true),
		Entry("answered without a length, ended by the close of the connection", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nConnection: close\r\n\r\nxyz", attemptresult.Answered, true),
		Entry("not found by the server", response(404, "", "x"), attemptresult.Answered, true),
		Entry("failed", response(500, "", "x"), attemptresult.Failed, true),
		Entry("unavailable without the not-run header", response(503, "", "x"), attemptresult.Failed, true),
		Entry("too many requests without the not-run header", response(429, "", "x"), attemptresult.Failed, true),
		Entry("a time-out of the server without the not-run header", response(408, "", "x"), attemptresult.Failed, true),
		Entry("a time-out of the server that states that the request was not run", response(408, "X-Not-Run: 1\r\n", ""), attemptresult.Refused, true),
		Entry("refused", response(503, "X-Not-Run: 1\r\n", ""), attemptresult.Refused, true),
		Entry("not the owner", response(421, "X-Not-Run: 1\r\nX-Instance: i-1\r\n", ""), attemptresult.NotOwner, true),
		Entry("another instance", response(421, "X-Instance: i-2\r\n", ""), attemptresult.Replaced, true),
		Entry("another instance with the not-run header", response(421, "X-Not-Run: 1\r\nX-Instance: i-2\r\n", ""), attemptresult.Replaced, true),
		Entry("another instance without a name", response(421, "", ""), attemptresult.Replaced, true),
		Entry("misdirected without the not-run header, by the expected instance", response(421, "X-Instance: i-1\r\n", ""), attemptresult.Failed, true),
		Entry("truncated in the body", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 9\r\n\r\nhalf", attemptresult.Failed, false),
		Entry("truncated in a chunk", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", attemptresult.Failed, false),
		Entry("truncated in the head", "HTTP/1.1 200 X\r\nX-Atte", attemptresult.Failed, false),
		Entry("not HTTP", "garbage\r\n\r\n", attemptresult.Failed, false),
		Entry("with a Content-Encoding", response(200, "Content-Encoding: gzip\r\n", "x"), attemptresult.Failed, false),
		Entry("without an attempt ID", "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx", attemptresult.Failed, false),
		Entry("no response before the deadline", "silence", attemptresult.TimedOut, false),
	)

	It("skips a response to an earlier request", func() {
		server := newFakeServer("HTTP/1.1 200 X\r\nX-Attempt: earlier\r\nContent-Length: 3\r\n\r\nold" + response(200, "", "new"))
		got, _, err := send(context.Background(), newClient(), server, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got.Body)).To(Equal("new"))
	})

	DescribeTable("does not reuse a connection", func(first string) {
		server := newFakeServer(first, response(200, "", "second"))
		c := newClient()
		_, _, err := send(context.Background(), c, server, "one")
		Expect(err).NotTo(HaveOccurred())
		got, _, err := send(context.Background(), c, server, "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).NotTo(BeNil())
		Expect(server.conns).To(HaveLen(2))
	},
		Entry("with bytes after the response", response(200, "", "x")+"surplus"),
		Entry("whose close the server announces", response(200, "Connection: close\r\n", "x")),
		Entry("whose Keep-Alive timeout is shorter than the margin", response(200, "Keep-Alive: timeout=1\r\n", "x")),
		Entry("whose Keep-Alive timeout is 0", response(200, "Keep-Alive: timeout=0\r\n", "x")),
	)

	DescribeTable("returns the response to HEAD, which has a length but no body", func(length string) {
		server := newFakeServer("HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: " + length + "\r\n\r\n")
		got, result, err := newClient().Send(context.Background(), server.instance, origin.Request{Method: http.MethodHead, Target: "/", Host: "a",
			AttemptID: "one", Header: http.Header{"X-Attempt": {"one"}}, Deadline: time.Now().Add(time.Second)}, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(attemptresult.Answered))
		Expect(got.Body).To(BeEmpty())
		Expect(got.Header.Get("Content-Length")).To(Equal(length))
	}, Entry("a short one", "5"), Entry("a longer one than is read", "999999999"))

	DescribeTable("shares no connection with a HEAD request, whose response has another length", func(methods ...string) {
		server := newFakeServer(response(200, "", ""), response(200, "", ""))
		c := newClient()
		for i, method := range methods {
			id := fmt.Sprint(i)
			_, _, err := c.Send(context.Background(), server.instance, origin.Request{Method: method, Target: "/", Host: "a", AttemptID: id,
				Header: http.Header{"X-Attempt": {id}}, Deadline: time.Now().Add(time.Second)}, 4)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(server.conns).To(HaveLen(2))
	}, Entry("HEAD first", http.MethodHead, http.MethodGet), Entry("HEAD second", http.MethodGet, http.MethodHead))

	It("detects before sending that the server has closed an idle connection", func() {
		server := newFakeServer(response(200, "", "only one"))
		c := newClient()
		_, _, err := send(context.Background(), c, server, "one")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		_, result, err := send(context.Background(), c, server, "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(attemptresult.Answered))
	})

	It("is unreachable if no server listens", func() {
		server := newFakeServer()
		server.instance.Address = "127.0.0.1:1"
		_, result, err := send(context.Background(), newClient(), server, "one")
		Expect(err).To(HaveOccurred())
		Expect(result.Status).To(Equal(attemptresult.Unreachable))
	})

	It("ends when the context is cancelled", func() {
		server := newFakeServer("silence")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		_, result, _ := send(ctx, newClient(), server, "one")
		Expect(result.Status).To(Equal(attemptresult.Left))
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
	})

	It("opens no more connections than the limit", func() {
		server := newFakeServer("silence")
		c := newClient()
		for range 4 {
			go func() { _, _, _ = send(context.Background(), c, server, "one") }()
		}
		Eventually(server.conns).Should(HaveLen(4))
		_, result, _ := send(context.Background(), c, server, "two")
		Expect(result.Status).To(Equal(attemptresult.Unsent))
	})

	It("gets the response to a long body that the server answers before reading it", func() {
		server := newFakeServer(response(413, "", "too long"))
		c := newClient()
		got, result, err := c.Send(context.Background(), server.instance, origin.Request{Method: http.MethodPost, Target: "/", Host: "a", AttemptID: "x",
			Header: http.Header{"X-Attempt": {"x"}}, Body: make([]byte, 8<<20), Deadline: time.Now().Add(time.Second)}, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Status).To(Equal(413))
		Expect(result.Status).To(Equal(attemptresult.Answered))
	})
})

var _ = Describe("a connection limit that idle connections reach", func() {
	It("leaves room for an attempt that must not use the idle connection again", func() {
		server := newFakeServer(response(503, "X-Not-Run: 1\r\n", ""), response(200, "", "over the same connection"))
		c := newClient()
		request := origin.Request{Method: http.MethodGet, Target: "/", Host: "a", AttemptID: "one", Header: http.Header{"X-Attempt": {"one"}},
			Deadline: time.Now().Add(time.Second)}
		for range 2 {
			_, result, err := c.Send(context.Background(), server.instance, request, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Status).To(Equal(attemptresult.Refused)) // each connection's first response
		}
		Expect(server.conns).To(HaveLen(2))
	})

	It("keeps a connection that has refused other attempts, up to a number of them", func() {
		var refusals []string
		for range 100 {
			refusals = append(refusals, response(503, "X-Not-Run: 1\r\n", ""))
		}
		server := newFakeServer(refusals...)
		c := newClient()
		for i := range 66 {
			_, _, err := send(context.Background(), c, server, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			<-server.requests
		}
		Expect(server.conns).To(HaveLen(2))
	})
})
