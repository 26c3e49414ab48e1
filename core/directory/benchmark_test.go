package directory_test

import "testing"

// BenchmarkTopRanked ranks the hosts for a service, as is done for every request that asks for a slot.
func BenchmarkTopRanked(b *testing.B) {
	d := hosts(72, func(int) float64 { return 0.3 })
	b.ReportAllocs()
	for b.Loop() {
		d.TopRanked("orders", 2, none)
	}
}
