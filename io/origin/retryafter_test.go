package origin_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the pause that a backend server asks for", func() {
	DescribeTable("is read from the Retry-After of a 503", func(status int, head string, want time.Duration, invalid string) {
		server := newFakeServer(response(status, head, ""))
		_, result, err := send(context.Background(), newClient(), server, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Announcement.Pause).To(Equal(want))
		Expect(result.Announcement.InvalidRetryAfter).To(Equal(invalid))
	},
		Entry("whole seconds", 503, "Retry-After: 2\r\n", 2*time.Second, ""),
		Entry("a refusal", 503, "Retry-After: 2\r\nX-Not-Run: 1\r\n", 2*time.Second, ""),
		Entry("a fraction", 503, "Retry-After: 1.25\r\n", 1250*time.Millisecond, ""),
		Entry("a fraction without a leading digit", 503, "Retry-After: .5\r\n", 500*time.Millisecond, ""),
		Entry("nothing", 503, "Retry-After: 0\r\n", time.Duration(0), ""),
		Entry("a date", 503, "Date: Mon, 02 Jan 2006 15:04:05 GMT\r\nRetry-After: Mon, 02 Jan 2006 15:04:35 GMT\r\n", 30*time.Second, ""),
		Entry("a date in the past", 503, "Retry-After: Mon, 02 Jan 2006 15:04:35 GMT\r\n", time.Duration(0), ""),
		Entry("an absurd number", 503, "Retry-After: 99999999999\r\n", time.Hour, ""),
		Entry("a number too large to represent", 503, "Retry-After: "+strings.Repeat("9", 400)+"\r\n", time.Hour, ""),
		Entry("an absurd date", 503, "Retry-After: Mon, 02 Jan 2906 15:04:35 GMT\r\n", time.Hour, ""),
		Entry("a negative number", 503, "Retry-After: -1\r\n", time.Duration(0), "-1"),
		Entry("infinity", 503, "Retry-After: inf\r\n", time.Duration(0), "inf"),
		Entry("two numbers", 503, "Retry-After: 1.2.3\r\n", time.Duration(0), "1.2.3"),
		Entry("garbage", 503, "Retry-After: soon\r\n", time.Duration(0), "soon"),
		Entry("long garbage", 503, "Retry-After: "+strings.Repeat("x", 500)+"\r\n", time.Duration(0), strings.Repeat("x", 64)),
		Entry("another status", 500, "Retry-After: 2\r\n", time.Duration(0), ""),
		Entry("another server", 503, "Retry-After: 2\r\nX-Instance: i-2\r\n", time.Duration(0), ""),
	)

	It("counts from the host's clock if it is a date and the answer has none", func() {
		end := time.Now().Add(30 * time.Second).UTC()
		server := newFakeServer(response(503, fmt.Sprintf("Retry-After: %s GMT\r\n", end.Format("Mon, 02 Jan 2006 15:04:05")), ""))
		_, result, err := send(context.Background(), newClient(), server, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Announcement.Pause).To(BeNumerically("~", 29500*time.Millisecond, 700*time.Millisecond))
	})
})
