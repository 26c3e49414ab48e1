package weighted_test

import (
	"fmt"
	"math"
	"testing"

	"redwingsill/core/destination"
	"redwingsill/core/weighted"
)

// After any number of picks each destination must be within 1.5 picks of its share.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		weights []int
	}{{[]int{1}}, {[]int{90, 10}}, {[]int{50, 30, 20}}, {[]int{1, 0}}, {[]int{3, 3, 3}}} {
		t.Run(fmt.Sprint(c.weights), func(t *testing.T) {
			var destinations []destination.Destination
			total := 0
			for i, w := range c.weights {
				destinations = append(destinations, destination.Destination{Service: fmt.Sprint(i), Weight: w})
				total += w
			}
			for _, seed := range []float64{0, 0.3, 0.99} {
				rr := weighted.New(destinations, seed)
				counts := map[string]int{}
				for n := 1; n <= 200; n++ {
					var picked string
					picked, rr = rr.Next()
					counts[picked]++
					for i, w := range c.weights {
						if want := float64(n) * float64(w) / float64(total); math.Abs(float64(counts[fmt.Sprint(i)])-want) > 1.5 {
							t.Fatalf("seed %v: after %d picks destination %d has %d, want %.1f", seed, n, i, counts[fmt.Sprint(i)], want)
						}
					}
				}
			}
		})
	}
}
