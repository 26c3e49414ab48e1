// Package quorum determines when a majority of the members has agreed.
package quorum

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StoreVote is the name under which a set of members lists the platform's store. A set with an even number of members
// has the store as one more voter; the store votes for the holder of the store lease.
const StoreVote = "@platform"

// Quorums is a list of member sets, each of which must agree by majority. There is more than one set while the members
// change.
type Quorums [][]string

// HasMajority reports whether a majority of each set agrees. It is false if there is no set or a set is empty.
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

// MajoritySince returns the latest time at which a majority of each set is known to have agreed, given when each member
// last agreed. It is the zero time if there is no set or a set is empty.
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

// Members returns the members of all sets, sorted and without the store vote.
func (q Quorums) Members() []string {
	var all []string
	for _, set := range q {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(name string) bool { return name == StoreVote })
}

// WithMembers returns the quorums with one more set of members, unless it is the newest set already. The set is sorted
// and has the store vote if the number of members is even.
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

// WithSets returns the quorums with the sets of o that they lack.
func (q Quorums) WithSets(o Quorums) Quorums {
	for _, set := range o {
		if !slices.ContainsFunc(q, func(own []string) bool { return slices.Equal(own, set) }) {
			q = append(slices.Clone(q), set)
		}
	}
	return q
}

// Newest returns the quorums with only the set that was added last.
func (q Quorums) Newest() Quorums {
	if len(q) == 0 {
		return nil
	}
	return Quorums{q[len(q)-1]}
}

// Equal reports whether q and o consist of the same sets in the same order.
func (q Quorums) Equal(o Quorums) bool {
	return slices.EqualFunc(q, o, func(a, b []string) bool { return slices.Equal(a, b) })
}

// Digest returns a hash of the sets and of a list of names. It is never 0.
func (q Quorums) Digest(names []string) uint64 {
	text := strings.Join(names, ",")
	for _, set := range q {
		text += ";" + strings.Join(set, ",")
	}
	return max(1, xxhash.Sum64String(text))
}
