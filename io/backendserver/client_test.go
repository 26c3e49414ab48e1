package backendserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/effect"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/io/attribute"
	"redwingsill/io/backendserver"
	"redwingsill/io/bodybudget"
	"redwingsill/io/task"
)

func TestBackendServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "BackendServer")
}

// rawServer is a TCP server that calls a script for each request. The script writes the response and can violate HTTP
// at any point.
type rawServer struct {
	listener net.Listener
	received atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
}

// newRawServer starts a server. The script gets the number of the request, counted from 1 over all connections.
func newRawServer(script func(n int64, conn net.Conn, r *http.Request)) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &rawServer{listener: listener}
	tasks, wait := task.New(context.Background())
	tasks.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			tasks.Go(func(context.Context) { s.serve(conn, script) })
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		wait()
	})
	return s
}

func (s *rawServer) serve(conn net.Conn, script func(n int64, conn net.Conn, r *http.Request)) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		script(s.received.Add(1), conn, r)
	}
}

func reply(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newRun(method, body string, timeout time.Duration) effect.Run {
	return effect.Run{Ticket: 1, Deadline: time.Now().Add(timeout), Request: request.Request{ID: "id-1", Key: "k", Body: []byte(body),
		Attributes: map[string]string{attribute.Method: method, attribute.Path: "/"}}}
}

func newClient(s *rawServer) *backendserver.Client {
	client, closeClient := backendserver.New(s.listener.Addr().String(), 2, &bodybudget.BodyBudget{}, time.Now)
	DeferCleanup(closeClient)
	return client
}

var _ = Describe("A connection that fails", func() {
	DescribeTable("after the server read the request makes the outcome Unknown, and the request is not retried, for every method", func(method, body string) {
		s := newRawServer(func(n int64, conn net.Conn, _ *http.Request) {
			if n == 1 {
				reply(conn, "warm")
				return
			}
			_ = conn.Close()
		})
		client := newClient(s)
		o, _ := client.Run(context.Background(), newRun(method, body, time.Second))
		Expect(o).To(BeAssignableToTypeOf(outcome.Answered{}))
		o, _ = client.Run(context.Background(), newRun(method, body, time.Second))
		Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{}))
		Consistently(s.received.Load, 50*time.Millisecond).Should(Equal(int64(2)))
	},
		Entry("GET", http.MethodGet, ""),
		Entry("OPTIONS", http.MethodOptions, ""),
		Entry("POST without a body", http.MethodPost, ""),
		Entry("POST with a body", http.MethodPost, "{}"),
		Entry("PUT with a body", http.MethodPut, "{}"),
		Entry("DELETE", http.MethodDelete, ""),
	)

	It("makes net/http's default client retry a GET, which this client prevents", func() {
		s := newRawServer(func(n int64, conn net.Conn, _ *http.Request) {
			if n == 1 {
				reply(conn, "warm")
				return
			}
			_ = conn.Close()
		})
		for range 2 {
			response, err := http.Get("http://" + s.listener.Addr().String())
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		Expect(s.received.Load()).To(BeNumerically(">", 2))
	})

	It("before any byte was sent makes the outcome NotRun", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		client, closeClient := backendserver.New(address, 2, &bodybudget.BodyBudget{}, time.Now)
		defer closeClient()
		o, _ := client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(BeAssignableToTypeOf(outcome.NotRun{}))
	})

	DescribeTable("during the response makes the outcome Unknown", func(head string) {
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, head)
			_ = conn.Close()
		})
		o, _ := newClient(s).Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{}))
	},
		Entry("within the status", "HTTP/1."),
		Entry("within the header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("before the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"),
		Entry("within the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
		Entry("within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"),
		Entry("between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
	)
})

var _ = Describe("A request", func() {
	It("that waits for a connection past its deadline is never sent", func() {
		release := make(chan struct{})
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) {
			<-release
			reply(conn, "done")
		})
		client, closeClient := backendserver.New(s.listener.Addr().String(), 1, &bodybudget.BodyBudget{}, time.Now)
		DeferCleanup(closeClient)
		tasks, wait := task.New(context.Background())
		DeferCleanup(wait)
		tasks.Go(func(ctx context.Context) { client.Run(ctx, newRun(http.MethodPost, "{}", 5*time.Second)) })
		Eventually(s.received.Load).Should(Equal(int64(1)))
		o, _ := client.Run(context.Background(), newRun(http.MethodPost, "{}", 50*time.Millisecond))
		Expect(o).To(BeAssignableToTypeOf(outcome.NotRun{}))
		close(release)
		Consistently(s.received.Load, 50*time.Millisecond).Should(Equal(int64(1)))
	})

	It("is not sent if the process was paused past the deadline before sending", func() {
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) { reply(conn, "done") })
		var now atomic.Int64
		base := time.Now()
		client, closeClient := backendserver.New(s.listener.Addr().String(), 1, &bodybudget.BodyBudget{}, func() time.Time { return base.Add(time.Duration(now.Load())) })
		DeferCleanup(closeClient)
		run := newRun(http.MethodPost, "{}", time.Second)
		run.Deadline = base.Add(time.Second)
		ctx := pausingContext{Context: context.Background(), pause: func() { now.Store(int64(2 * time.Second)) }}
		o, _ := client.Run(ctx, run)
		Expect(o).To(BeAssignableToTypeOf(outcome.NotRun{}))
		Expect(s.received.Load()).To(BeZero())
	})

	It("carries its key, ID, grant and absolute deadline in headers", func() {
		headers := make(chan http.Header, 1)
		s := newRawServer(func(_ int64, conn net.Conn, r *http.Request) {
			headers <- r.Header
			reply(conn, "done")
		})
		_, _ = newClient(s).Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		h := <-headers
		Expect(h.Get(backendserver.HeaderKey)).To(Equal("k"))
		Expect(h.Get(backendserver.HeaderRequestID)).To(Equal("id-1"))
		Expect(h.Get(backendserver.HeaderGrant)).To(Equal("0.0"))
		deadline, err := time.Parse(time.RFC3339Nano, h.Get(backendserver.HeaderDeadline))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Until(deadline)).To(BeNumerically("~", time.Second, 500*time.Millisecond))
	})

	DescribeTable("that the server refuses before running has the outcome NotRun", func(reason string, shed, moved bool) {
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", backendserver.HeaderRefused, reason)
		})
		o, isShed := newClient(s).Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(HaveField("Moved", moved))
		Expect(isShed).To(Equal(shed))
	},
		Entry("for overload", "Shed", true, false),
		Entry("for its connection limit", "Connections", true, false),
		Entry("for an old grant", "Grant", false, true),
		Entry("for its deadline", "Deadline", false, false),
		Entry("while draining", "Draining", false, false),
	)

	It("that the server answers with an error status has that complete response as its outcome", func() {
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nbody")
		})
		o, _ := newClient(s).Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(Equal(outcome.Answered{Status: 500, Attributes: map[string]string{}, Body: []byte("body")}))
	})

	// Guards against NotRun, by which callers send a request again under a new ID, for a request that the server has run.
	DescribeTable("is not taken for refused by the status alone", func(status int) {
		s := newRawServer(func(_ int64, conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", status)
		})
		o, isShed := newClient(s).Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(Equal(outcome.Answered{Status: status, Attributes: map[string]string{"Header-Retry-After": "1"}, Body: []byte{}}))
		Expect(isShed).To(BeFalse())
	}, Entry(nil, 408), Entry(nil, 421), Entry(nil, 429), Entry(nil, 503))

	It("does not receive the late response to the previous request", func() {
		s := newRawServer(func(n int64, conn net.Conn, r *http.Request) {
			if n == 1 {
				time.Sleep(100 * time.Millisecond)
			}
			reply(conn, strings.ToUpper(r.Header.Get(backendserver.HeaderKey)))
		})
		client := newClient(s)
		first := newRun(http.MethodPost, "{}", 50*time.Millisecond)
		o, _ := client.Run(context.Background(), first)
		Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{}))
		second := newRun(http.MethodPost, "{}", time.Second)
		second.Request.Key = "other"
		o, _ = client.Run(context.Background(), second)
		Expect(o).To(HaveField("Body", []byte("OTHER")))
	})
})

var _ = Describe("A response that a server writes once more on a kept connection", func() {
	DescribeTable("is not taken for the response to the next request", func(first string) {
		earlier := ""
		var conns sync.Map // the connection of each request, by its number
		s := newRawServer(func(n int64, conn net.Conn, r *http.Request) {
			conns.Store(n, conn)
			id := r.Header.Get(backendserver.HeaderAttemptID)
			if n == 1 {
				earlier = fmt.Sprintf(first, backendserver.HeaderAttemptID, id)
				_, _ = io.WriteString(conn, earlier)
				return
			}
			_, _ = io.WriteString(conn, earlier)
			time.Sleep(50 * time.Millisecond) // the request runs
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", backendserver.HeaderAttemptID, id)
		})
		client, closeClient := backendserver.New(s.listener.Addr().String(), 1, &bodybudget.BodyBudget{}, time.Now)
		DeferCleanup(closeClient)
		_, _ = client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		o, _ := client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{})) // it may have run
		_, _ = client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
		second, _ := conns.Load(int64(2))
		third, isSent := conns.Load(int64(3))
		Expect(isSent).To(BeTrue())
		Expect(third).NotTo(BeIdenticalTo(second), "a connection is used again after a response to an earlier request")
	},
		Entry("a refusal", "HTTP/1.1 503 Busy\r\n"+backendserver.HeaderRefused+": Shed\r\n%s: %s\r\nContent-Length: 0\r\n\r\n"),
		Entry("an answer", "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nother"),
	)

	It("does not keep the next request from the server if it has no body", func() {
		for range 1000 { // the closed connection was idle until net/http noticed
			earlier := ""
			s := newRawServer(func(n int64, conn net.Conn, r *http.Request) {
				id := r.Header.Get(backendserver.HeaderAttemptID)
				switch n {
				case 1:
					earlier = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", backendserver.HeaderAttemptID, id)
					_, _ = io.WriteString(conn, earlier)
				case 2:
					_, _ = io.WriteString(conn, earlier)
				default:
					reply(conn, "ran")
				}
			})
			client, closeClient := backendserver.New(s.listener.Addr().String(), 1, &bodybudget.BodyBudget{}, time.Now)
			DeferCleanup(closeClient)
			o, _ := client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
			Expect(o).To(BeAssignableToTypeOf(outcome.Answered{}))
			o, _ = client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
			Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{}))
			o, _ = client.Run(context.Background(), newRun(http.MethodPost, "{}", time.Second))
			Expect(o).To(HaveField("Body", []byte("ran")))
		}
	})
})

var _ = Describe("A response without end", func() {
	const head = "HTTP/1.1 200 OK\r\n"
	responses := map[string][2]string{
		"a header field":                {head + "X-Long: ", "aaaaaaaa"},
		"header fields":                 {head, "X-Many: a\r\n"},
		"interim responses":             {"", "HTTP/1.1 103 X\r\nX-Interim: a\r\n\r\n"},
		"a body that ends at the close": {head + "\r\n", "aaaaaaaa"},
		"a body of known length":        {head + "Content-Length: 8000000000\r\n\r\n", "aaaaaaaa"},
		"chunks":                        {head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
		"a chunk extension":             {head + "Transfer-Encoding: chunked\r\n\r\n1;", "aaaaaaaa"},
		"trailers":                      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Many: a\r\n"},
		"a refusal":                     {"HTTP/1.1 503 Busy\r\n", "X-Many: a\r\n"},
	}

	It("makes the outcome Unknown, and leaves the memory flat beside 100 of them", func() {
		var bodies bodybudget.BodyBudget
		var reached, notRun sync.Map // the keys of the requests that reached a server, and of those that are NotRun
		var runs sync.WaitGroup
		var unknown atomic.Int64
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, name := range slices.Sorted(maps.Keys(responses)) {
			s := newRawServer(func(n int64, conn net.Conn, r *http.Request) {
				reached.Store(r.Header.Get(backendserver.HeaderKey), true)
				block, pause := []byte(strings.Repeat(responses[name][1], 1000)), time.Duration(0)
				if n%2 == 0 {
					pause = 5 * time.Millisecond
				}
				_, err := io.WriteString(conn, responses[name][0])
				for ; err == nil; time.Sleep(pause) {
					_, err = conn.Write(block)
				}
			})
			client, closeClient := backendserver.New(s.listener.Addr().String(), 12, &bodies, time.Now)
			DeferCleanup(closeClient)
			for i := range 12 {
				runs.Go(func() {
					defer GinkgoRecover()
					run := newRun(http.MethodPost, "{}", 3*time.Second)
					run.Request.Key = fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)
					o, _ := client.Run(context.Background(), run)
					if _, isNotRun := o.(outcome.NotRun); isNotRun { // not sent in time on a busy machine
						notRun.Store(run.Request.Key, true)
						return
					}
					unknown.Add(1)
					Expect(o).To(BeAssignableToTypeOf(outcome.Unknown{}), name)
				})
			}
		}
		Eventually(func() (count int) {
			reached.Range(func(_, _ any) bool {
				count++
				return true
			})
			return count
		}, 2500*time.Millisecond).Should(BeNumerically(">=", 100))
		time.Sleep(500 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runs.Wait()
		Expect(unknown.Load()).To(BeNumerically(">=", 100))
		Consistently(func() (both []any) {
			notRun.Range(func(key, _ any) bool {
				if _, hasReached := reached.Load(key); hasReached {
					both = append(both, key)
				}
				return true
			})
			return both
		}, 200*time.Millisecond).Should(BeEmpty())
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 64<<20))
	})
})

// pausingContext is a context that calls pause whenever a value is read from it, which happens while a request is
// prepared. It simulates a process that is paused before sending.
type pausingContext struct {
	context.Context
	pause func()
}

// Value implements [context.Context].
func (p pausingContext) Value(key any) any {
	p.pause()
	return p.Context.Value(key)
}
