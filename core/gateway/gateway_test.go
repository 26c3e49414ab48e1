package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/gateway"
	"redwingsill/core/outcome"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gateway")
}

var _ = DescribeTable("a request is retried only if it did not run because the owner of its key moved", func(o outcome.Outcome, timeLeft time.Duration, retried bool) {
	now := time.Unix(0, 0)
	_, _, got := gateway.New().DecideRetry(o, 1, now.Add(timeLeft), now)
	Expect(got).To(Equal(retried))
},
	Entry("not run, the owner moved", outcome.NotRun{Moved: true}, time.Second, true),
	Entry("not run, the owner moved, but the deadline is near", outcome.NotRun{Moved: true}, 80*time.Millisecond, false),
	Entry("not run, refused", outcome.NotRun{}, time.Second, false),
	Entry("unknown outcome", outcome.Unknown{}, time.Second, false),
	Entry("answered request", outcome.Answered{}, time.Second, false),
)

var _ = It("delays retries longer while the budget is empty", func() {
	g, now := gateway.New(), time.Unix(0, 0)
	var delays []time.Duration
	for attempt := range 12 {
		var delay time.Duration
		g, delay, _ = g.DecideRetry(outcome.NotRun{Moved: true}, attempt, now.Add(time.Hour), now)
		delays = append(delays, delay)
	}
	// The initial budget allows ten retries.
	Expect(delays[9]).To(Equal(50 * time.Millisecond))
	Expect(delays[10]).To(Equal(250 * time.Millisecond))
})
