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

// receiver records what a host receives and answers requests by a script.
type receiver struct {
	mu       sync.Mutex
	messages []message.Message
	answer   func(ctx context.Context, ask message.Forward) outcome.Outcome
}

func (r *receiver) Receive(_ string, m message.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *receiver) Ask(ctx context.Context, _ string, ask message.Forward) message.Forwarded {
	return message.Forwarded{Outcome: r.answer(ctx, ask)}
}

func (r *receiver) received() []message.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]message.Message{}, r.messages...)
}

// serve starts a host that listens, and returns its address and a function that stops it.
func serve(name, secret string, r *receiver, log io.Writer) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p, wait := peer.New(ctx, name, []byte(secret), func(string) string { return "" }, slog.New(slog.NewTextHandler(log, nil)))
	p.Serve(listener, r)
	return listener.Addr().String(), func() {
		cancel()
		wait()
	}
}

func dialer(secret string, address func(string) string) *peer.Peer {
	p, wait := peer.New(context.Background(), "ilo-1", []byte(secret), address, slog.New(slog.DiscardHandler))
	DeferCleanup(wait)
	return p
}

func at(address string) func(string) string { return func(string) string { return address } }

var _ = Describe("a peer", func() {
	echo := &receiver{answer: func(_ context.Context, ask message.Forward) outcome.Outcome {
		return outcome.Answered{Status: 200, Body: ask.Request.Body}
	}}

	It("delivers messages in order and answers each request with its own answer", func() {
		address, stop := serve("ilo-2", secret, echo, io.Discard)
		DeferCleanup(stop)
		p := dialer(secret, at(address))
		for round := range int64(20) {
			p.Send("ilo-2", message.Heartbeat{Round: round})
		}
		Eventually(echo.received).Should(HaveLen(20))
		for i, m := range echo.received() {
			Expect(m).To(HaveField("Round", int64(i)))
		}
		ends := make(chan bool, 100)
		for i := range 100 {
			go func() {
				body := []byte{byte(i)}
				told := p.Ask(context.Background(), "ilo-2", message.Forward{Ticket: uint64(i), Request: request.Request{Body: body}})
				answered, ok := told.Outcome.(outcome.Answered)
				ends <- ok && bytes.Equal(answered.Body, body) && told.Ticket == uint64(i)
			}()
		}
		for range 100 {
			Expect(<-ends).To(BeTrue())
		}
	})

	It("tells NotRun where no connection could be made", func() {
		p := dialer(secret, at("127.0.0.1:1"))
		Expect(p.Ask(context.Background(), "ilo-2", message.Forward{}).Outcome).To(HaveField("Moved", true))
		Expect(p.IsLost("ilo-2")).To(BeTrue())
	})

	It("tells Unknown where the peer died with the request, and connects again later", func() {
		began, over := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(over) })
		r := &receiver{answer: func(context.Context, message.Forward) outcome.Outcome {
			close(began)
			<-over
			return outcome.NotRun{}
		}}
		address, stop := serve("ilo-2", secret, r, io.Discard)
		p := dialer(secret, at(address))
		told := make(chan message.Forwarded)
		go func() { told <- p.Ask(context.Background(), "ilo-2", message.Forward{}) }()
		<-began
		go stop()
		Expect((<-told).Outcome).To(BeAssignableToTypeOf(outcome.Unknown{}))
	})

	It("passes a caller's going on to the peer", func() {
		began, gone := make(chan struct{}), make(chan struct{})
		r := &receiver{answer: func(ctx context.Context, _ message.Forward) outcome.Outcome {
			close(began)
			<-ctx.Done()
			close(gone)
			return outcome.NotRun{}
		}}
		address, stop := serve("ilo-2", secret, r, io.Discard)
		DeferCleanup(stop)
		p := dialer(secret, at(address))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-began
			cancel()
		}()
		p.Ask(ctx, "ilo-2", message.Forward{Ticket: 7})
		Eventually(gone).Should(BeClosed())
	})

	DescribeTable("closes on a stranger's bytes and says so in the log", func(first []byte) {
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

	It("refuses a peer that has another secret", func() {
		address, stop := serve("ilo-2", secret, echo, io.Discard)
		DeferCleanup(stop)
		p := dialer("another secret of some hosts", at(address))
		Expect(p.Ask(context.Background(), "ilo-2", message.Forward{}).Outcome).To(BeAssignableToTypeOf(outcome.NotRun{}))
	})

	It("does not send a request to a host of another name", func() {
		address, stop := serve("ilo-3", secret, echo, io.Discard)
		DeferCleanup(stop)
		Expect(dialer(secret, at(address)).Ask(context.Background(), "ilo-2", message.Forward{}).Outcome).To(
			HaveField("Reason", ContainSubstring("is ilo-3, not ilo-2")))
	})
})
