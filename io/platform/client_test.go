package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/hostentry"
	"redwingsill/core/kind"
	"redwingsill/io/platform"
	standin "redwingsill/io/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

// simulatedPlatform is a stand-in for the platform, and a client of it. Tests set the stand-in's clock with the field now.
type simulatedPlatform struct {
	*standin.Platform
	client *platform.Client
	base   string
	now    time.Time
}

func newSimulatedPlatform() *simulatedPlatform {
	s := &simulatedPlatform{now: time.Unix(1000, 0)}
	s.Platform = standin.New(func() time.Time { return s.now })
	server := httptest.NewServer(s.Handler())
	DeferCleanup(server.Close)
	client, closeClient := platform.New(server.URL, 1000)
	DeferCleanup(closeClient)
	s.client, s.base = client, server.URL
	return s
}

func (s *simulatedPlatform) setFaults(body string) {
	response, err := http.Post(s.base+"/admin/faults", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// kindOf returns the kind of a *platform.Error, or "" if err is nil or of another type.
func kindOf(err error) kind.Kind {
	var failure *platform.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

var ctx = context.Background()

var _ = Describe("The platform client", func() {
	It("writes a key only if its revision is the expected one, and deletes it with an empty value", func() {
		// Write takes the expected revision, which is 0 for an absent key, and the TTL, which is 0 for none. Read with
		// revision -1 does not wait for a change.
		s := newSimulatedPlatform()
		first, err := s.client.Write(ctx, "k", []byte("a"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.client.Write(ctx, "k", []byte("b"), 0, 0)
		Expect(kindOf(err)).To(Equal(kind.Conflict))
		second, err := s.client.Write(ctx, "k", []byte("c"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		value, revision, err := s.client.Read(ctx, "k", -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(value)).To(Equal("c"))
		Expect(revision).To(Equal(second))
		_, err = s.client.Write(ctx, "k", nil, second, 0)
		Expect(err).NotTo(HaveOccurred())
		_, revision, err = s.client.Read(ctx, "k", -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeZero())
	})

	It("extends the TTL of a key by writing it again, and can create the key again after it has expired", func() {
		s := newSimulatedPlatform()
		first, err := s.client.Write(ctx, "lease", []byte("a"), 0, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		s.now = s.now.Add(1500 * time.Millisecond)
		_, err = s.client.Write(ctx, "lease", []byte("a"), first, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		s.now = s.now.Add(1500 * time.Millisecond)
		_, revision, err := s.client.Read(ctx, "lease", -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).NotTo(BeZero())
		s.now = s.now.Add(time.Second)
		_, err = s.client.Write(ctx, "lease", []byte("b"), 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns from a watch when the key changes", func() {
		s := newSimulatedPlatform()
		first, err := s.client.Write(ctx, "k", []byte("a"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		values := make(chan string, 1)
		go func() {
			value, _, _ := s.client.Read(ctx, "k", first)
			values <- string(value)
		}()
		Consistently(values, 50*time.Millisecond).ShouldNot(Receive())
		_, err = s.client.Write(ctx, "k", []byte("b"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(values).Should(Receive(Equal("b")))
	})

	It("returns an outdated list of hosts while the platform's list lags", func() {
		s := newSimulatedPlatform()
		s.setFaults(`{"ListLag":"5s"}`)
		s.SetHosts([]hostentry.HostEntry{{Name: "ilo-1"}})
		s.now = s.now.Add(10 * time.Second)
		s.SetHosts([]hostentry.HostEntry{{Name: "ilo-1", Leaving: true}})
		hosts, err := s.client.ListHosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts[0].Leaving).To(BeFalse())
		s.now = s.now.Add(6 * time.Second)
		hosts, err = s.client.ListHosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts[0].Leaving).To(BeTrue())
	})

	DescribeTable("maps each fault of the platform to an error kind", func(fault string, write, read kind.Kind, isWritten bool) {
		s := newSimulatedPlatform()
		s.setFaults(fault)
		_, err := s.client.Write(ctx, "k", []byte("a"), 0, 0)
		Expect(kindOf(err)).To(Equal(write))
		_, _, err = s.client.Read(ctx, "k", -1)
		Expect(kindOf(err)).To(Equal(read))
		s.setFaults(`{}`)
		_, revision, err := s.client.Read(ctx, "k", -1)
		Expect(err).NotTo(HaveOccurred())
		isPresent := revision > 0
		Expect(isPresent).To(Equal(isWritten))
	},
		Entry("down", `{"Down":true}`, kind.Unavailable, kind.Unavailable, false),
		Entry("down, with negative rate limits, which limit nothing", `{"MaxWrites":-1,"MaxReads":-1,"Down":true}`, kind.Unavailable, kind.Unavailable, false),
		Entry("the response to a completed write is lost", `{"LoseAnswers":true}`, kind.Unknown, kind.Kind(""), true),
		Entry("frozen", `{"Freeze":true}`, kind.Unknown, kind.Unknown, false),
		Entry("slow", `{"Delay":"50ms"}`, kind.Kind(""), kind.Kind(""), true),
	)

	It("limits the rate of its calls", func() {
		s := newSimulatedPlatform()
		limited, closeClient := platform.New(s.base, 20)
		DeferCleanup(closeClient)
		began := time.Now()
		for range 60 {
			_, _, err := limited.Read(ctx, "k", -1)
			Expect(err).NotTo(HaveOccurred())
		}
		// The limiter's burst of two seconds' calls covers 40 of the 60; the other 20 take 1 s at 20 calls per second.
		Expect(time.Since(began)).To(BeNumerically(">", 900*time.Millisecond))
	})
})
