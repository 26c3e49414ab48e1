package member_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/member"
	"redwingsill/core/message"
	"redwingsill/core/release"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Member")
}

var _ = Describe("a member", func() {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	// receive passes a heartbeat from ilo-2, 10 s after the start, when the member no longer abstains.
	receive := func(m member.Member, hb message.Heartbeat) member.Member {
		hb.Leader = "ilo-2"
		m, _ = m.Step(event.MessageReceived{From: "ilo-2", Message: hb}, start.Add(10*time.Second))
		return m
	}

	It("never goes back to an older configuration or assignment", func() {
		m := member.New("ilo-1", 1, timing.Default(), start)
		m = receive(m, message.Heartbeat{Term: 1, Versions: versions.Versions{AssignmentTerm: 1, AssignmentVersion: 5},
			Configuration: &configuration.Configuration{Revision: 7}, Assignment: &assignment.Assignment{Term: 1, Version: 5}})
		m = receive(m, message.Heartbeat{Term: 2, Versions: versions.Versions{AssignmentTerm: 1, AssignmentVersion: 4},
			Configuration: &configuration.Configuration{Revision: 6}, Assignment: &assignment.Assignment{Term: 1, Version: 4}})
		Expect(m.Configuration().Revision).To(Equal(int64(7)))
		Expect(m.Assignment().Version).To(Equal(int64(5)))
	})

	It("adopts a configuration but follows no leader while it abstains", func() {
		m := member.New("ilo-1", 1, timing.Default(), start)
		m, effects := m.Step(event.MessageReceived{From: "ilo-2", Message: message.Heartbeat{Term: 1, Leader: "ilo-2", Round: 1,
			Configuration: &configuration.Configuration{Revision: 7}}}, start.Add(time.Second))
		Expect(effects).To(BeEmpty())
		Expect(m.Configuration().Revision).To(Equal(int64(7)))
		Expect(m.Term()).To(BeZero())
	})

	It("reports a release until the leader has acknowledged it", func() {
		m := receive(member.New("ilo-1", 1, timing.Default(), start), message.Heartbeat{Term: 1, Round: 1})
		done := start.Add(11 * time.Second)
		m, _ = m.Step(event.Released{Release: release.Release{ID: 7, Server: "inventario-1", WholeServer: true}, Adopted: true}, done)
		reported := func(echo time.Time) message.Report {
			next, _ := m.Step(event.MessageReceived{From: "ilo-2", Message: message.Heartbeat{Term: 1, Leader: "ilo-2", Round: 2, Echo: echo}}, done.Add(time.Millisecond))
			_, effects := next.Step(event.Ticked{}, done.Add(time.Second))
			return effects[0].(effect.Send).Message.(message.Report)
		}
		Expect(reported(done.Add(-time.Second)).AdoptedReleases).To(Equal([]int64{7}))
		Expect(reported(done.Add(time.Microsecond)).AdoptedReleases).To(BeEmpty())
	})

	It("refuses a candidate while its leader is alive and reports the refusal to the leader", func() {
		m := receive(member.New("ilo-1", 1, timing.Default(), start), message.Heartbeat{Term: 1, Round: 1})
		m, effects := m.Step(event.MessageReceived{From: "ilo-3", Message: message.Follow{Term: 65, Candidate: "ilo-3"}}, start.Add(10200*time.Millisecond))
		Expect(effects).To(HaveLen(1))
		Expect(effects[0]).To(HaveField("Message", HaveField("Accepted", false)))
		_, effects = m.Step(event.Ticked{}, start.Add(11*time.Second))
		Expect(effects[0]).To(HaveField("Message", HaveField("RefusedTerm", int64(65))))
	})
})
