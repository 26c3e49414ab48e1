package directory_test

import (
	"fmt"
	"net/netip"
	"testing"

	"redwingsill/core/directory"
)

func none(string) bool { return false }

func hosts(n int, capacity func(i int) float64) directory.Directory {
	d := directory.Directory{}
	for i := range n {
		d = d.With(fmt.Sprint("h", i), netip.AddrPort{}, "a", capacity(i))
	}
	return d
}

func names(d directory.Directory, subject string, limit int, isExcluded func(string) bool) []string {
	var all []string
	for _, h := range d.TopRanked(subject, limit, isExcluded) {
		all = append(all, h.Name)
	}
	return all
}

func TestHostsWithMoreCapacityRankFirst(t *testing.T) {
	d := hosts(70, func(i int) float64 {
		if i%9 == 4 {
			return 0.8
		}
		return 0.16
	})
	for _, subject := range []string{"a", "b", "coordinator"} {
		for _, h := range d.TopRanked(subject, 8, none) {
			if h.Capacity != 0.8 {
				t.Errorf("%s: %s with a capacity of %v cores is among the first 8", subject, h.Name, h.Capacity)
			}
		}
	}
}

func TestRankingIsConsistentStableAndEven(t *testing.T) {
	d := hosts(40, func(int) float64 { return 0.3 })
	firsts := map[string]int{}
	for i := range 400 {
		subject := fmt.Sprint("service", i)
		order := names(d, subject, 40, none)
		firsts[order[0]]++
		for rank, name := range order {
			if got := d.Rank(subject, name); got != rank {
				t.Fatalf("%s: rank of %s is %d, want %d", subject, name, got, rank)
			}
		}
		if got := names(d, subject, 2, func(name string) bool { return name == order[0] }); got[0] != order[1] || got[1] != order[2] {
			t.Errorf("%s: without the first host: %v, want %v", subject, got, order[1:3])
		}
		if got := names(d.Without(order[3]), subject, 4, none); got[2] != order[2] || got[3] != order[4] {
			t.Errorf("%s: the order changed when a host was removed: %v, was %v", subject, got, order[:5])
		}
	}
	for name, n := range firsts {
		if n > 400/40*4 {
			t.Errorf("%s ranks first for %d of 400 subjects, want at most 4 times the even share of 10", name, n)
		}
	}
	if got := d.Rank("s", "unknown"); got != 40 {
		t.Errorf("rank of an unknown host is %d, want 40", got)
	}
}
