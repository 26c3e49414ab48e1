package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/io/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer")
}

const secret = "a secret of the entry hosts"

// receiver records the messages that a host receives and answers forwarded requests with a function.
type receiver struct {
	mu       sync.Mutex
	messages []message.Message
	answer   func(ctx context.Context, forward message.Forward) outcome.Outcome
}

func (r *receiver) Receive(_ string, m message.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *receiver) ServeForwarded(ctx context.Context, _ string, forward message.Forward) message.Forwarded {
	return message.Forwarded{Outcome: r.answer(ctx, forward)}
}

func (r *receiver) received() []message.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]message.Message{}, r.messages...)
}

// serve starts a host that listens for its peers, and returns its address and a function that stops it.
func serve(name, secret string, r *receiver, log io.Writer) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p, stop := peer.New(ctx, name, []byte(secret), func(string) string { return "" }, slog.New(slog.NewTextHandler(log, nil)))
	p.Serve(listener, r)
	return listener.Addr().String(), func() {
		cancel()
		stop()
	}
}

// newTransport returns the transport of a host that does not listen.
func newTransport(secret string, address func(string) string) *peer.Transport {
	p, stop := peer.New(context.Background(), "ilo-1", []byte(secret), address, slog.New(slog.DiscardHandler))
	DeferCleanup(stop)
	return p
}

// fixedAddress returns a function that gives the same address for every host.
func fixedAddress(address string) func(string) string { return func(string) string { return address } }

var _ = Describe("A transport", func() {
	echo := &receiver{answer: func(_ context.Context, forward message.Forward) outcome.Outcome {
		return outcome.Answered{Status: 200, Body: forward.Request.Body}
	}}

	It("delivers messages in order and matches concurrent responses to their requests", func() {
		address, stop := serve("ilo-2", secret, echo, io.Discard)
		DeferCleanup(stop)
		p := newTransport(secret, fixedAddress(address))
		for round := range int64(20) {
			p.Send("ilo-2", message.Heartbeat{Round: round})
		}
		Eventually(echo.received).Should(HaveLen(20))
		for i, m := range echo.received() {
			Expect(m).To(HaveField("Round", int64(i)))
		}
		results := make(chan bool, 100)
		for i := range 100 {
			go func() {
				body := []byte{byte(i)}
				response := p.Forward(context.Background(), "ilo-2", message.Forward{Ticket: uint64(i), Request: request.Request{Body: body}})
				answered, ok := response.Outcome.(outcome.Answered)
				results <- ok && bytes.Equal(answered.Body, body) && response.Ticket == uint64(i)
			}()
		}
		for range 100 {
			Expect(<-results).To(BeTrue(), "the response is not the one to the request")
		}
	})

	It("returns NotRun and counts the host as unreachable if it cannot connect", func() {
		p := newTransport(secret, fixedAddress("127.0.0.1:1"))
		Expect(p.Forward(context.Background(), "ilo-2", message.Forward{}).Outcome).To(HaveField("Moved", true))
		Expect(p.IsUnreachable("ilo-2")).To(BeTrue())
	})

	It("returns Unknown if the peer stops while it serves the request", func() {
		started, release := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(release) })
		r := &receiver{answer: func(context.Context, message.Forward) outcome.Outcome {
			close(started)
			<-release
			return outcome.NotRun{}
		}}
		address, stop := serve("ilo-2", secret, r, io.Discard)
		p := newTransport(secret, fixedAddress(address))
		responses := make(chan message.Forwarded)
		go func() { responses <- p.Forward(context.Background(), "ilo-2", message.Forward{}) }()
		<-started
		go stop()
		Expect((<-responses).Outcome).To(BeAssignableToTypeOf(outcome.Unknown{}))
	})

	It("cancels the request at the peer if the sender's context is cancelled", func() {
		started, cancelled := make(chan struct{}), make(chan struct{})
		r := &receiver{answer: func(ctx context.Context, _ message.Forward) outcome.Outcome {
			close(started)
			<-ctx.Done()
			close(cancelled)
			return outcome.NotRun{}
		}}
		address, stop := serve("ilo-2", secret, r, io.Discard)
		DeferCleanup(stop)
		p := newTransport(secret, fixedAddress(address))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		p.Forward(ctx, "ilo-2", message.Forward{Ticket: 7})
		Eventually(cancelled).Should(BeClosed())
	})

	DescribeTable("closes a connection with an invalid handshake and logs it", func(first []byte) {
		log := gbytes.NewBuffer()
		address, stop := serve("ilo-2", secret, echo, log)
		DeferCleanup(stop)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, _ = conn.Write(first)
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.Copy(io.Discard, conn)
		Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
		Eventually(log).Should(gbytes.Say("peer refused"))
	},
		Entry("an HTTP request", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")),
		Entry("a frame over the limit", binary.BigEndian.AppendUint32(nil, 1<<31)),
		Entry("a frame that is not JSON", append(binary.BigEndian.AppendUint32(nil, 3), "abc"...)),
		Entry("a hello without a nonce", append(binary.BigEndian.AppendUint32(nil, 14), `{"Name":"ilo"}`...)),
	)

	It("refuses a peer with a different secret", func() {
		address, stop := serve("ilo-2", secret, echo, io.Discard)
		DeferCleanup(stop)
		p := newTransport("another secret of some hosts", fixedAddress(address))
		Expect(p.Forward(context.Background(), "ilo-2", message.Forward{}).Outcome).To(BeAssignableToTypeOf(outcome.NotRun{}))
	})

	It("does not send a request to a host with an unexpected name", func() {
		address, stop := serve("ilo-3", secret, echo, io.Discard)
		DeferCleanup(stop)
		Expect(newTransport(secret, fixedAddress(address)).Forward(context.Background(), "ilo-2", message.Forward{}).Outcome).To(
			HaveField("Reason", ContainSubstring("is ilo-3, not ilo-2")))
	})
})
