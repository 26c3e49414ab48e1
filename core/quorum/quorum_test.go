package quorum_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/quorum"
)

func TestQuorum(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quorum")
}

var _ = DescribeTable("requires a majority of each set", func(q quorum.Quorums, agreeing []string, hasMajority bool) {
	agrees := func(name string) bool {
		for _, a := range agreeing {
			if a == name {
				return true
			}
		}
		return false
	}
	Expect(q.HasMajority(agrees)).To(Equal(hasMajority))
},
	Entry("no set", quorum.Quorums{}, []string{"a"}, false),
	Entry("an empty set", quorum.Quorums{{}}, []string{"a"}, false),
	Entry("one of one", quorum.Quorums{{"a"}}, []string{"a"}, true),
	Entry("one of two", quorum.Quorums{{"a", "b"}}, []string{"a"}, false),
	Entry("two of three", quorum.Quorums{{"a", "b", "c"}}, []string{"a", "c"}, true),
	Entry("two of four without the store vote", quorum.Quorums{}.WithMembers([]string{"a", "b", "c", "d"}), []string{"a", "c"}, false),
	Entry("two of four and the store vote", quorum.Quorums{}.WithMembers([]string{"a", "b", "c", "d"}), []string{"a", "c", quorum.StoreVote}, true),
	Entry("one of three and the store vote, which a set of odd size does not have", quorum.Quorums{}.WithMembers([]string{"a", "b", "c"}), []string{"a", quorum.StoreVote}, false),
	Entry("the new set alone", quorum.Quorums{{"a", "b", "c"}, {"c", "d", "e"}}, []string{"c", "d", "e"}, false),
	Entry("both sets", quorum.Quorums{{"a", "b", "c"}, {"c", "d", "e"}}, []string{"b", "c", "d"}, true),
)

var _ = It("returns from MajoritySince the median time of a single set and the earliest median of several sets", func() {
	times := map[string]time.Time{}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		times[name] = time.Unix(int64(i), 0)
	}
	agreedAt := func(name string) time.Time { return times[name] }
	Expect(quorum.Quorums{{"a", "b", "c", "d", "e"}}.MajoritySince(agreedAt)).To(Equal(time.Unix(2, 0)))
	Expect(quorum.Quorums{{"c", "d", "e"}, {"a", "b", "c"}}.MajoritySince(agreedAt)).To(Equal(time.Unix(1, 0)))
})
