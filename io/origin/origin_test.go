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

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Origin")
}

var names = headers.Headers{Attempt: "X-Attempt", Deadline: "X-Deadline", Seal: "X-Seal", Expect: "X-Expect", Instance: "X-Instance",
	Load: "X-Load", NotRun: "X-Not-Run", Key: "X-Key", Handover: "X-Handover"}

// peer is a backend server that writes what a test says, byte for byte.
type peer struct {
	instance instance.Instance
	// seen has the head of each request.
	seen chan *http.Request
	// conns counts the connections.
	conns chan net.Conn
}

// newPeer starts a server that answers the requests of each connection in turn by the texts; ATTEMPT stands for the
// attempt of the request. After the last one it closes.
func newPeer(texts ...string) *peer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	p := &peer{instance: instance.Instance{ID: "i-1", Address: listener.Addr().String()}, seen: make(chan *http.Request, 20),
		conns: make(chan net.Conn, 20)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns <- c
			go p.serve(c, texts)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, texts []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, r.ContentLength)
		if _, err := fmt.Fscan(r.Body); err != nil && r.ContentLength > 0 {
			_, _ = r.Body.Read(body)
		}
		p.seen <- r
		if text == "silence" {
			time.Sleep(2 * time.Second)
			return
		}
		if _, err := c.Write([]byte(strings.ReplaceAll(text, "ATTEMPT", r.Header.Get("X-Attempt")))); err != nil {
			return
		}
	}
}

func answer(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt: ATTEMPT\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), head, body)
}

func newOrigin() *origin.Origin {
	o, clean := origin.New(names, time.Now)
	DeferCleanup(clean)
	return o
}

func send(ctx context.Context, o *origin.Origin, p *peer, attempt string) (*origin.Answer, attemptresult.AttemptResult, error) {
	return o.Send(ctx, p.instance, origin.Request{Method: http.MethodGet, Target: "/a%2Fb?q=1", Host: "a.example", Attempt: attempt,
		Header:   http.Header{"X-Attempt": {attempt}, "X-Other": {"1", "2"}, "Connection": {"X-Hop"}, "X-Hop": {"no"}, "X-Expect": {"spoofed"}},
		Deadline: time.Now().Add(600 * time.Millisecond)}, 4)
}

var _ = Describe("a request to a backend server", func() {
	It("carries the caller's fields, the instance and the time left, and nothing that concerns one connection", func() {
		p := newPeer(answer(200, "X-Load: 2,1,4\r\n", "hello"))
		a, told, err := send(context.Background(), newOrigin(), p, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("hello"))
		Expect(told.Status).To(Equal(attemptresult.Answered))
		Expect([]int{told.Running, told.Waiting}).To(Equal([]int{2, 1}))
		r := <-p.seen
		Expect(r.RequestURI).To(Equal("/a%2Fb?q=1"))
		Expect(r.Host).To(Equal("a.example"))
		Expect(r.Header["X-Other"]).To(Equal([]string{"1", "2"}))
		Expect(r.Header["X-Expect"]).To(Equal([]string{"i-1"}))
		Expect(r.Header.Get("X-Hop")).To(BeEmpty())
		Expect(r.Header.Get("X-Deadline")).To(MatchRegexp(`^[45]\d\d$`))
	})

	It("uses a connection again", func() {
		p := newPeer(answer(200, "", "a"), answer(200, "", "b"))
		o := newOrigin()
		for range 2 {
			_, _, err := send(context.Background(), o, p, "x")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(p.conns).To(HaveLen(1))
	})

	DescribeTable("tells what became of it", func(text string, want attemptresult.Status, hasAnswer bool) {
		p := newPeer(text)
		a, told, err := send(context.Background(), newOrigin(), p, "one")
		Expect(told.Status).To(Equal(want))
		Expect(a != nil).To(Equal(hasAnswer))
		Expect(err == nil).To(Equal(hasAnswer))
	},
		Entry("answered", answer(200, "", "x"), attemptresult.Answered, true),
		Entry("answered without a length, ended by the connection", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nConnection: close\r\n\r\nxyz", attemptresult.Answered, true),
		Entry("not found by the server", answer(404, "", "x"), attemptresult.Answered, true),
		Entry("failed", answer(500, "", "x"), attemptresult.Failed, true),
		Entry("unavailable without a word on whether it ran", answer(503, "", "x"), attemptresult.Failed, true),
		Entry("refused", answer(503, "X-Not-Run: 1\r\n", ""), attemptresult.Refused, true),
		Entry("not the owner", answer(421, "X-Not-Run: 1\r\nX-Instance: i-1\r\n", ""), attemptresult.NotOwner, true),
		Entry("another instance", answer(421, "X-Instance: i-2\r\n", ""), attemptresult.Replaced, true),
		Entry("cut in the body", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 9\r\n\r\nhalf", attemptresult.Failed, false),
		Entry("cut in a chunk", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", attemptresult.Failed, false),
		Entry("cut in the head", "HTTP/1.1 200 X\r\nX-Atte", attemptresult.Failed, false),
		Entry("no HTTP", "garbage\r\n\r\n", attemptresult.Failed, false),
		Entry("encoded", answer(200, "Content-Encoding: gzip\r\n", "x"), attemptresult.Failed, false),
		Entry("without an attempt", "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx", attemptresult.Failed, false),
		Entry("silent", "silence", attemptresult.Silent, false),
	)

	It("passes over an answer to an earlier request", func() {
		p := newPeer("HTTP/1.1 200 X\r\nX-Attempt: earlier\r\nContent-Length: 3\r\n\r\nold" + answer(200, "", "new"))
		a, _, err := send(context.Background(), newOrigin(), p, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("new"))
	})

	DescribeTable("does not use a connection again", func(first string) {
		p := newPeer(first, answer(200, "", "second"))
		o := newOrigin()
		_, _, err := send(context.Background(), o, p, "one")
		Expect(err).NotTo(HaveOccurred())
		a, _, err := send(context.Background(), o, p, "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(a).NotTo(BeNil())
		Expect(p.conns).To(HaveLen(2))
	},
		Entry("that had bytes after the answer", answer(200, "", "x")+"surplus"),
		Entry("that the server closes", answer(200, "Connection: close\r\n", "x")),
		Entry("whose time is nearly over", answer(200, "Keep-Alive: timeout=1\r\n", "x")),
	)

	It("notices that an idle connection was closed before it sends on it", func() {
		p := newPeer(answer(200, "", "only one"))
		o := newOrigin()
		_, _, err := send(context.Background(), o, p, "one")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		_, told, err := send(context.Background(), o, p, "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(told.Status).To(Equal(attemptresult.Answered))
	})

	It("is unreachable, and nothing was sent, where nobody listens", func() {
		p := newPeer()
		p.instance.Address = "127.0.0.1:1"
		_, told, err := send(context.Background(), newOrigin(), p, "one")
		Expect(err).To(HaveOccurred())
		Expect(told.Status).To(Equal(attemptresult.Unreachable))
	})

	It("ends when the caller leaves", func() {
		p := newPeer("silence")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		_, told, _ := send(ctx, newOrigin(), p, "one")
		Expect(told.Status).To(Equal(attemptresult.Left))
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
	})

	It("opens no more connections than it may", func() {
		p := newPeer("silence")
		o := newOrigin()
		for range 4 {
			go func() { _, _, _ = send(context.Background(), o, p, "one") }()
		}
		Eventually(p.conns).Should(HaveLen(4))
		_, told, _ := send(context.Background(), o, p, "two")
		Expect(told.Status).To(Equal(attemptresult.Unsent))
	})

	It("hands a long body over whole, and keeps no connection whose request was answered early", func() {
		p := newPeer(answer(413, "", "too long"))
		o := newOrigin()
		a, told, err := o.Send(context.Background(), p.instance, origin.Request{Method: http.MethodPost, Target: "/", Host: "a", Attempt: "x",
			Header: http.Header{"X-Attempt": {"x"}}, Body: make([]byte, 8<<20), Deadline: time.Now().Add(time.Second)}, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(413))
		Expect(told.Status).To(Equal(attemptresult.Answered))
	})
})
