package keyload

import "math"

const (
	// hotWindow is the number of neighbouring keys to each side of a key that count with it, since hot keys are neighbours.
	hotWindow = 4
	// minHotCount is the recent count of a key and its neighbours from which they are hot. A few requests for keys at random
	// rarely reach it.
	minHotCount = 4
	// minHotValue is the count from which keys that were hot a moment ago still use their recent rate, so that a hot period
	// that has ended is noticed.
	minHotValue = minHotCount * shortHalfLifeDivisor
	// maxRisingFactor bounds the extrapolation while few arrivals say how hot the keys are.
	maxRisingFactor = 2.5
)

// presentRates returns the rates of counts sorted by key. In each run of hot keys the total is the present rate, which the
// keys share by their counts over the longer half-life, since these have more requests.
func presentRates(counts []keyCount) []float64 {
	rates, isHot := make([]float64, len(counts)), hotKeys(counts)
	for i := 0; i < len(counts); {
		if !isHot[i] {
			rates[i] = counts[i].rate()
			i++
			continue
		}
		end, rate, recent := i, 0.0, 0.0
		for ; end < len(counts) && isHot[end] && (end == i || counts[end].key <= counts[end-1].key+hotWindow); end++ {
			rate += counts[end].rate()
			recent += counts[end].recentRate()
		}
		factor := presentRate(recent, rate) / rate
		for ; i < end; i++ {
			rates[i] = factor * counts[i].rate()
		}
	}
	return rates
}

// hotKeys returns for each of the counts, sorted by key, whether the key and its neighbours have many requests.
func hotKeys(counts []keyCount) []bool {
	isHot := make([]bool, len(counts))
	first, end, recent, value := 0, 0, 0.0, 0.0
	for i, k := range counts {
		for ; end < len(counts) && counts[end].key <= k.key+hotWindow; end++ {
			recent += counts[end].recent
			value += counts[end].value
		}
		for ; counts[first].key < k.key-hotWindow; first++ {
			recent -= counts[first].recent
			value -= counts[first].value
		}
		isHot[i] = recent >= minHotCount || value >= minHotValue
	}
	return isHot
}

// presentRate returns the present rate of keys from their rates over the two half-lives. If the keys became hot at once, the
// time t ago, the two are 1 - 2^(-t/shortHalfLife) and 1 - 2^(-t/halfLife) of the present rate, and their ratio gives t.
func presentRate(recent, rate float64) float64 {
	ratio := recent / rate
	if ratio <= 1 {
		return recent
	}
	// With x = 2^(-t/halfLife), the ratio is (1 - x^n) / (1 - x) = 1 + x + ... + x^(n-1), where n is shortHalfLifeDivisor.
	low, high := 0.0, 1.0
	for range 20 {
		x, sum := (low+high)/2, 0.0
		for range shortHalfLifeDivisor {
			sum = sum*x + 1
		}
		if sum < ratio {
			low = x
		} else {
			high = x
		}
	}
	return recent * min(maxRisingFactor, 1/max(math.SmallestNonzeroFloat64, 1-math.Pow(low, shortHalfLifeDivisor)))
}
