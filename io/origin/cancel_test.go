package origin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/instance"
	"redwingsill/io/origin"
)

var _ = Describe("a request whose caller leaves while it begins", func() {
	It("ends long before its deadline", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Attempt") == "silence" {
				<-r.Context().Done()
				return
			}
			w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
			_, _ = io.WriteString(w, "warm")
		}))
		DeferCleanup(server.Close)
		c := newClient()
		sendAs := func(ctx context.Context, attemptID string) error {
			_, _, err := c.Send(ctx, instance.Instance{ID: "i-1", Address: server.Listener.Addr().String()}, origin.Request{Method: http.MethodGet,
				Target: "/", Host: "a", AttemptID: attemptID, Header: http.Header{"X-Attempt": {attemptID}}, Deadline: time.Now().Add(6 * time.Second)}, 100)
			return err
		}
		var senders sync.WaitGroup
		var rounds atomic.Int64
		for range 32 {
			senders.Go(func() {
				defer GinkgoRecover()
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
					if sendAs(context.Background(), "warm") != nil { // else it leaves an idle connection
						continue // the listen queue is full of connections whose callers have left
					}
					rounds.Add(1)
					ctx, cancel := context.WithCancel(context.Background())
					go cancel()
					began := time.Now()
					Expect(sendAs(ctx, "silence")).NotTo(Succeed())
					Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
				}
			})
		}
		senders.Wait()
		Expect(rounds.Load()).To(BeNumerically(">", 100))
	})
})
