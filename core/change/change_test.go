package change_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/change"
	"redwingsill/core/configuration"
	"redwingsill/core/example"
	"redwingsill/core/resource"
)

func TestChange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Change")
}

var _ = Describe("a change", func() {
	current := example.Size{Hosts: 3, Servers: 2, ServerSlots: 2, HashSlots: 8}.Configuration()
	patient := current.Ranks[example.PatientRank]
	raised := patient
	raised.Worth = 7

	It("of the current revision is accepted as the next revision", func() {
		next, err := change.Change{ID: "a", By: "ops", ExpectedRevision: 1, Declare: []resource.Resource{raised}}.Apply(current, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Revision).To(Equal(int64(2)))
		Expect(next.Ranks[example.PatientRank].Worth).To(Equal(7.0))
		Expect(current.Ranks[example.PatientRank].Worth).To(Equal(1.0), "the old configuration was modified")
	})

	It("of an older revision gets a conflict that lists the changes since", func() {
		first, err := change.Change{ID: "a", By: "ops", ExpectedRevision: 1, Declare: []resource.Resource{raised}}.Apply(current, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		_, err = change.Change{ID: "b", By: "dev", ExpectedRevision: 1, Declare: []resource.Resource{patient}}.Apply(first, time.Time{})
		var conflict *change.Error
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(err).To(MatchError(And(ContainSubstring("for revision 1"), ContainSubstring("revision 2 is in force"), ContainSubstring("Rank/stock"))))
	})

	It("submitted again after a lost response has no further effect", func() {
		c := change.Change{ID: "a", By: "ops", ExpectedRevision: 1, Declare: []resource.Resource{raised}}
		first, err := c.Apply(current, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		again, err := c.Apply(first, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
	})

	It("that is invalid leaves the configuration unchanged", func() {
		wrong := raised
		wrong.Floor = 2
		next, err := change.Change{ID: "a", By: "ops", ExpectedRevision: 1, Declare: []resource.Resource{wrong}}.Apply(current, time.Time{})
		var invalid *configuration.Error
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(next).To(Equal(current))
	})
})
