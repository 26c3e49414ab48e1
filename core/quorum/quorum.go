// Package quorum decides when enough members have agreed.
package quorum

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Platform stands in a set for the platform's lease. It is the odd vote where the number of members is even.
const StoreVote = "@platform"

// Quorums is sets of members, each of which must agree by majority. There are two while the members change.
type Quorums [][]string

// Has reports whether a majority of each set agrees. Empty sets never agree.
func (q Quorums) HasMajority(agrees func(member string) bool) bool {
	for _, set := range q {
		n := 0
		for _, member := range set {
			if agrees(member) {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return len(q) > 0
}

// Since returns the latest time at or after which a majority of each set is known to have agreed.
func (q Quorums) MajoritySince(agreedAt func(member string) time.Time) time.Time {
	var earliest time.Time
	for i, set := range q {
		times := make([]time.Time, 0, len(set))
		for _, member := range set {
			times = append(times, agreedAt(member))
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if len(set) == 0 {
			return time.Time{}
		}
		if agreed := times[len(set)/2]; i == 0 || agreed.Before(earliest) {
			earliest = agreed
		}
	}
	return earliest
}

// Members returns the members of all sets, sorted, without the platform.
func (q Quorums) Members() []string {
	var all []string
	for _, set := range q {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(name string) bool { return name == StoreVote })
}

// With returns the quorums with one more set of members, unless it is the newest already.
func (q Quorums) WithMembers(set []string) Quorums {
	sorted := slices.Clone(set)
	slices.Sort(sorted)
	if len(sorted) > 0 && len(sorted)%2 == 0 {
		sorted = append(sorted, StoreVote)
	}
	if len(q) > 0 && slices.Equal(q[len(q)-1], sorted) {
		return q
	}
	return append(slices.Clone(q), sorted)
}

// WithAll returns the quorums with those sets of o that they lack.
func (q Quorums) WithSets(o Quorums) Quorums {
	for _, set := range o {
		if !slices.ContainsFunc(q, func(own []string) bool { return slices.Equal(own, set) }) {
			q = append(slices.Clone(q), set)
		}
	}
	return q
}

// Newest returns the quorums with the newest set alone.
func (q Quorums) Newest() Quorums {
	if len(q) == 0 {
		return nil
	}
	return Quorums{q[len(q)-1]}
}

// Same reports whether both hold the same sets.
func (q Quorums) Equal(o Quorums) bool {
	return slices.EqualFunc(q, o, func(a, b []string) bool { return slices.Equal(a, b) })
}

// Digest returns a number that stands for the sets and for a list of names beside them. It is never 0.
func (q Quorums) Digest(names []string) uint64 {
	text := strings.Join(names, ",")
	for _, set := range q {
		text += ";" + strings.Join(set, ",")
	}
	return max(1, xxhash.Sum64String(text))
}
