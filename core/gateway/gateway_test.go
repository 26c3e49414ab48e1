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

var _ = DescribeTable("a request is tried again only where it did not run", func(o outcome.Outcome, left time.Duration, again bool) {
	now := time.Unix(0, 0)
	_, _, got := gateway.New().Again(o, 1, now.Add(left), now)
	Expect(got).To(Equal(again))
},
	Entry("its owner moved", outcome.NotRun{Moved: true}, time.Second, true),
	Entry("its owner moved, but the deadline is near", outcome.NotRun{Moved: true}, 80*time.Millisecond, false),
	Entry("it was refused", outcome.NotRun{}, time.Second, false),
	Entry("nobody knows", outcome.Unknown{}, time.Second, false),
	Entry("it was answered", outcome.Answered{}, time.Second, false),
)

var _ = It("spends the budget first and waits longer afterwards", func() {
	g, now := gateway.New(), time.Unix(0, 0)
	var waits []time.Duration
	for try := range 12 {
		var wait time.Duration
		g, wait, _ = g.Again(outcome.NotRun{Moved: true}, try, now.Add(time.Hour), now)
		waits = append(waits, wait)
	}
	Expect(waits[9]).To(Equal(50 * time.Millisecond))
	Expect(waits[10]).To(Equal(250 * time.Millisecond))
})
