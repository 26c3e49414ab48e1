// Package electorate decides by the reports of which hosts a coordinator finds the store unreachable, and by those of which
// hosts its successor knows that it can't. Both sides name the same sets of hosts, since the sets are stored before they
// count.
package electorate

import (
	"slices"
	"time"

	"redwingsill/core/reachability"
)

// changeDivisor is the size of a set divided by the number of hosts that may join or leave before the set is stored anew.
const changeDivisor = 6

// Electorate holds the sets of hosts, by sorted names, whose reports count for one coordinator and for earlier ones. It is
// immutable. With the zero value nothing is stored or known.
type Electorate struct {
	// revision is the store revision at which the coordinator was elected.
	revision int64
	// earlier has the sets of the coordinators whose grants may still be in force, once isEarlierKnown is set.
	earlier        [][]string
	isEarlierKnown bool
	// lost are the hosts that stand for sets of earlier coordinators that the store has lost, or nil. isLost is set if there may be such
	// sets.
	lost   []string
	isLost bool
	// own is the coordinator's set that was stored last, and writing the one whose write has no known result. Either is nil if
	// there is none.
	own, writing []string
	// hasStoredEarlier and isWritingEarlier are set if sets of earlier coordinators are stored beside own, or written beside writing.
	hasStoredEarlier, isWritingEarlier bool
}

// New returns the electorate of the coordinator elected at a revision. It knows nothing of earlier coordinators.
func New(revision int64) Electorate { return Electorate{revision: revision} }

// WithEarlier sets the sets of all earlier coordinators whose grants may still be in force. Sets without a host or with
// the same hosts as another are left out.
func (e Electorate) WithEarlier(sets [][]string) Electorate {
	e.earlier, e.isEarlierKnown, e.lost, e.isLost = nil, true, nil, false
	for _, set := range sets {
		hosts := slices.Compact(slices.Sorted(slices.Values(set)))
		if len(hosts) > 0 && !slices.ContainsFunc(e.earlier, func(other []string) bool { return slices.Equal(other, hosts) }) {
			e.earlier = append(e.earlier, hosts)
		}
	}
	return e
}

// WithOlder sets the sets of earlier coordinators from a store that may have lost later ones. The hosts that were known then stand for
// those. Nothing is stored beside them, since a successor would take them for a set that a coordinator counts on.
func (e Electorate) WithOlder(sets [][]string, known []string) Electorate {
	e = e.WithEarlier(sets)
	e.lost, e.isLost = slices.Compact(slices.Sorted(slices.Values(known))), true
	return e
}

// IsEarlierKnown reports whether the sets of earlier coordinators are known.
func (e Electorate) IsEarlierKnown() bool { return e.isEarlierKnown }

// Earlier returns the sets of earlier coordinators.
func (e Electorate) Earlier() [][]string { return e.earlier }

// NeedsWrite reports whether a set of the given hosts should be stored: no write is under way, and none is stored, more than a
// sixth of it differs, or sets of earlier coordinators are stored that no longer count.
func (e Electorate) NeedsWrite(hosts []string) bool {
	if !e.isEarlierKnown || e.isLost || e.writing != nil || len(hosts) == 0 {
		return false
	}
	return e.own == nil || e.hasStoredEarlier && len(e.earlier) == 0 || differences(e.own, slices.Sorted(slices.Values(hosts)))*changeDivisor > len(e.own)
}

// WithWrite records that a write of a set has begun.
func (e Electorate) WithWrite(hosts []string) Electorate {
	e.writing, e.isWritingEarlier = slices.Sorted(slices.Values(hosts)), len(e.EarlierBeside(hosts)) > 0
	return e
}

// EarlierBeside returns the sets of earlier coordinators but one of the given hosts.
func (e Electorate) EarlierBeside(hosts []string) [][]string {
	own := slices.Sorted(slices.Values(hosts))
	return slices.DeleteFunc(slices.Clone(e.earlier), func(set []string) bool { return slices.Equal(set, own) })
}

// WithWritten records that the write has taken effect. Without this call the set goes on to count beside the one before: a
// successor may have read it and replaced it.
func (e Electorate) WithWritten() Electorate {
	e.own, e.writing, e.hasStoredEarlier = e.writing, nil, e.isWritingEarlier
	return e
}

// IsWriting reports whether a write has no known result.
func (e Electorate) IsWriting() bool { return e.writing != nil }

// Size returns the number of hosts in the coordinator's set that was stored last.
func (e Electorate) Size() int { return len(e.own) }

// EarlierSize returns the number of hosts in the sets of earlier coordinators, each counted once.
func (e Electorate) EarlierSize() int {
	all := slices.Concat(e.earlier...)
	slices.Sort(all)
	return len(slices.Compact(all))
}

// IsStoreUnreachable reports whether, by the hosts' reports, the store is unreachable for at least two thirds of the set
// that a later coordinator will read. While a write has no known result, this can be either of two.
func (e Electorate) IsStoreUnreachable(reports map[string]reachability.Reachability) bool {
	return e.own != nil && reachability.IsStoreUnreachable(reports, e.own, e.revision) &&
		(e.writing == nil || reachability.IsStoreUnreachable(reports, e.writing, e.revision))
}

// StoreReachableSince returns the time since which no earlier coordinator can have received, or will receive, reports by
// which the store is unreachable, and whether it is known. It is the zero time if no earlier one may act any more.
func (e Electorate) StoreReachableSince(reports map[string]reachability.Reachability) (time.Time, bool) {
	var latest time.Time
	if e.isLost {
		since, ok := reachability.StoreReachableSinceByMost(reports, e.lost, e.revision)
		if !ok {
			return time.Time{}, false
		}
		latest = since
	}
	for _, hosts := range e.earlier {
		since, ok := reachability.StoreReachableSince(reports, hosts, e.revision)
		if !ok {
			return time.Time{}, false
		}
		if since.After(latest) {
			latest = since
		}
	}
	return latest, e.isEarlierKnown
}

// differences returns how many names only one of two sorted lists has.
func differences(a, b []string) int {
	common := 0
	for _, name := range a {
		if _, ok := slices.BinarySearch(b, name); ok {
			common++
		}
	}
	return len(a) + len(b) - 2*common
}
