package origin_test

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/io/origin"
)

const (
	statusLine  = "HTTP/1.1 200 X\r\nX-Attempt: one\r\n"
	chunkedHead = statusLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessResponse is a response of which a part is repeated until the client closes the connection.
type endlessResponse struct {
	start, part string
	// isNumbered puts a new number before each part, so that no two are the same.
	isNumbered bool
}

var endlessResponses = map[string]endlessResponse{
	"a status line":                 {start: "HTTP/1.1 200 ", part: "aaaaaaaa"},
	"a header field":                {start: statusLine + "X-Long: ", part: "aaaaaaaa"},
	"header fields of one name":     {start: statusLine, part: "X-Many: a\r\n"},
	"header fields of many names":   {start: statusLine, part: ":\r\n", isNumbered: true},
	"interim responses":             {part: "HTTP/1.1 103 X\r\nX-Interim: a\r\n\r\n"},
	"the head of an interim answer": {start: "HTTP/1.1 103 X\r\n", part: "X-Many: a\r\n"},
	"a body that ends at the close": {start: statusLine + "\r\n", part: strings.Repeat("a", 4096)},
	"a body that is too long":       {start: statusLine + "Content-Length: 17000000\r\n\r\n", part: strings.Repeat("a", 4096)},
	"a body of absurd length":       {start: statusLine + "Content-Length: 9000000000000000000\r\n\r\n", part: strings.Repeat("a", 4096)},
	"chunks":                        {start: chunkedHead, part: "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
	"chunks of one byte":            {start: chunkedHead, part: "1\r\na\r\n"},
	"chunk extensions":              {start: chunkedHead, part: "1;extension=" + strings.Repeat("a", 1000) + "\r\na\r\n"},
	"a chunk extension":             {start: chunkedHead + "1;", part: "aaaaaaaa"},
	"trailers":                      {start: chunkedHead + "0\r\n", part: "X-Many: a\r\n"},
	"a response to another request": {start: strings.Replace(chunkedHead, "one", "earlier", 1), part: "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
}

// endlessServer is a backend server that sends an endless response on each connection.
type endlessServer struct {
	instance instance.Instance
	// sent counts the bytes written, and open the connections that the client has not closed.
	sent, open atomic.Int64
}

// newEndlessServer starts a server. It pauses after each part if pause is above 0, and else sends the parts in blocks.
func newEndlessServer(response endlessResponse, pause time.Duration) *endlessServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &endlessServer{instance: instance.Instance{ID: "i-1", Address: listener.Addr().String()}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, response, pause)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, response endlessResponse, pause time.Duration) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, response.start)
	block := make([]byte, 0, 32<<10)
	for i := 0; err == nil; {
		block = block[:0]
		for isFirst := true; isFirst || pause == 0 && len(block) < 16<<10; isFirst = false {
			if i++; response.isNumbered {
				block = strconv.AppendInt(block, int64(i), 36)
			}
			block = append(block, response.part...)
		}
		var n int
		n, err = c.Write(block)
		s.sent.Add(int64(n))
		time.Sleep(pause)
	}
}

// heap returns the bytes of the heap that are in use, with garbage that was not collected yet.
func heap() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// liveHeap returns the bytes of the heap that are in use. A garbage collection keeps what becomes garbage while it runs,
// so the smallest of a few measurements is taken.
func liveHeap() int64 {
	smallest := int64(math.MaxInt64)
	for range 3 {
		runtime.GC()
		smallest = min(smallest, heap())
	}
	return smallest
}

// expectGivenUp expects that a request gets no response by half a second after its deadline, that a bounded number of
// bytes is read for it and that its connection is closed.
func expectGivenUp(server *endlessServer, description ...any) {
	began := time.Now()
	got, result, err := send(context.Background(), newClient(), &fakeServer{instance: server.instance}, "one")
	Expect(err).To(HaveOccurred(), description...)
	Expect(got).To(BeNil(), description...)
	Expect(result.Status).To(BeElementOf(attemptresult.Failed, attemptresult.TimedOut), description...) // it may have run
	Expect(time.Since(began)).To(BeNumerically("<", 1100*time.Millisecond), description...)
	Eventually(server.open.Load).Should(BeZero(), description...)
	Expect(server.sent.Load()).To(BeNumerically("<", 48<<20), description...)
}

var _ = Describe("a response without end", func() {
	for name, response := range endlessResponses {
		It("is given up if it comes at full speed: "+name, func() { expectGivenUp(newEndlessServer(response, 0)) })
	}

	It("is given up if it comes slowly", func() {
		var sends sync.WaitGroup
		for name, response := range endlessResponses {
			server := newEndlessServer(response, 5*time.Millisecond)
			sends.Go(func() {
				defer GinkgoRecover()
				expectGivenUp(server, name)
			})
		}
		sends.Wait()
	})

	It("leaves the memory flat beside 100 of them", func() {
		var servers []*endlessServer
		announced := endlessResponse{start: statusLine + "Content-Length: 16000000\r\n\r\n", part: "a"}
		for _, name := range slices.Sorted(maps.Keys(endlessResponses)) {
			response := endlessResponses[name]
			servers = append(servers, newEndlessServer(response, 0), newEndlessServer(response, time.Millisecond), newEndlessServer(announced, time.Millisecond))
		}
		c := newClient()
		before := liveHeap()
		began := time.Now()
		var sends sync.WaitGroup
		for i := range 100 {
			sends.Go(func() {
				defer GinkgoRecover()
				result := attemptresult.AttemptResult{Status: attemptresult.Unreachable}
				for result.Status == attemptresult.Unreachable { // servers that send at full speed are slow to accept
					_, result, _ = c.Send(context.Background(), servers[i%len(servers)].instance, origin.Request{Method: http.MethodGet, Target: "/",
						Host: "a", AttemptID: "one", Deadline: began.Add(2 * time.Second)}, 4)
				}
				Expect(result.Status).To(BeElementOf(attemptresult.Failed, attemptresult.TimedOut))
			})
		}
		largest := int64(0)
		for time.Since(began) < time.Second {
			largest = max(largest, heap())
			time.Sleep(5 * time.Millisecond)
		}
		live := liveHeap()
		sends.Wait()
		Expect(live-before).To(BeNumerically("<", 64<<20), "the live heap beside those that send slowly")
		Expect(largest-before).To(BeNumerically("<", 128<<20), "the largest heap, with garbage")
	})
})
