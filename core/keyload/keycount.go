package keyload

import "math"

// keyCount is a key with its decayed numbers of requests.
type keyCount struct {
	key           int
	value, recent float64
}

// rate returns the request rate of the key over the last halfLife. At a constant rate, a count settles at rate * halfLife / ln 2.
func (k keyCount) rate() float64 { return k.value * math.Ln2 / halfLife.Seconds() }

// recentRate returns the request rate of the key over the last shortHalfLife.
func (k keyCount) recentRate() float64 { return k.recent * math.Ln2 / shortHalfLife.Seconds() }
