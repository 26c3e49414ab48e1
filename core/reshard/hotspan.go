package reshard

import "redwingsill/core/keyrange"

// hotSpan is the hot keys of one holding.
type hotSpan struct {
	in    keyrange.Range
	keys  []int
	loads []float64
	// load is the sum of the loads.
	load float64
}

// hotSpanIn returns the keys of a range that have at least minLoad.
func (p *Plan) hotSpanIn(r keyrange.Range, minLoad float64) hotSpan {
	s := hotSpan{in: r}
	keys, rates := p.rates.In(r)
	for i, key := range keys {
		if load := rates[i] * p.meanServiceTime.Seconds(); load >= minLoad {
			s.keys, s.loads = append(s.keys, key), append(s.loads, load)
			s.load += load
		}
	}
	return s
}
