package directory_test

import "testing"

// BenchmarkFirst finds whom to ask for a slot, as each request does.
func BenchmarkFirst(b *testing.B) {
	d := hosts(72, func(int) float64 { return 0.3 })
	b.ReportAllocs()
	for b.Loop() {
		d.First("orders", 2, none)
	}
}
