package origin_test

import (
	"bytes"
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/io/origin"
)

var _ = Describe("the header field with which a backend server says that it leaves", func() {
	DescribeTable("is taken from each answer of the server that was asked", func(answer string, want bool) {
		server := newFakeServer(answer)
		_, result, _ := send(context.Background(), newClient(), server, "one")
		Expect(result.Announcement.IsLeaving).To(Equal(want))
	},
		Entry("a success", response(200, "X-Leaving: 1\r\n", "x"), true),
		Entry("a failure", response(500, "X-Leaving: 1\r\n", "x"), true),
		Entry("a refusal", response(503, "X-Leaving: 1\r\nX-Not-Run: 1\r\n", ""), true),
		Entry("an answer that breaks off in the body", "HTTP/1.1 200 X\r\nX-Attempt: ATTEMPT\r\nX-Leaving: 1\r\nContent-Length: 9\r\n\r\nhalf", true),
		Entry("421 of the server itself", response(421, "X-Leaving: 1\r\nX-Instance: i-1\r\n", ""), true),
		Entry("421 of another server", response(421, "X-Leaving: 1\r\nX-Instance: i-2\r\n", ""), false),
		Entry("421 of a server that does not name itself", response(421, "X-Leaving: 1\r\n", ""), false),
		Entry("an answer to another request", "HTTP/1.1 200 X\r\nX-Attempt: other\r\nConnection: close\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", false),
		Entry("an answer without it", response(200, "", "x"), false),
		Entry("an answer with another value", response(200, "X-Leaving: 0\r\n", "x"), false),
	)

	It("is taken from an early answer to a long body", func() {
		server := newFakeServer(response(503, "X-Leaving: 1\r\nX-Not-Run: 1\r\n", ""))
		_, result, err := newClient().Send(context.Background(), server.instance, origin.Request{Method: http.MethodPost, Target: "/a", Host: "a.example",
			AttemptID: "one", Header: http.Header{"X-Attempt": {"one"}}, Body: bytes.Repeat([]byte("x"), 8<<20), Deadline: time.Now().Add(time.Second)}, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Announcement.IsLeaving).To(BeTrue())
	})

	It("ends the use of kept connections to the server", func() {
		server := newFakeServer(response(200, "", "a"), response(200, "X-Leaving: 1\r\n", "b"), response(200, "", "c"))
		c := newClient()
		for _, id := range []string{"one", "two", "three"} {
			_, _, err := send(context.Background(), c, server, id)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(server.conns).To(HaveLen(2))
	})
})
