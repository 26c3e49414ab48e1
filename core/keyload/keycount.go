package keyload

import "math"

// keyCount is a key with its decayed number of requests.
type keyCount struct {
	key   int
	count count
}

// rate returns the request rate of the key over the last halfLife. At a constant rate, a count settles at rate * halfLife / ln 2.
func (k keyCount) rate() float64 { return k.count.value * math.Ln2 / halfLife.Seconds() }

// recentRate returns the request rate of the key over the last shortHalfLife.
func (k keyCount) recentRate() float64 { return k.count.recent * math.Ln2 / shortHalfLife.Seconds() }
