package reshard

import (
	"redwingsill/core/keyrange"
)

// welcome gives keys to servers that have none.
func (p *Plan) welcome(most int) {
	for i := range p.owners {
		if p.owners[i].width > 0 || len(p.moves) >= most {
			continue
		}
		from := p.hottest()
		if from < 0 {
			continue
		}
		if r, ok := p.forNewcomer(from, p.owners[i].capacity); ok {
			p.move(r, i)
		}
	}
}

// forNewcomer returns the keys for a server of a capacity that has none: about its part of the load, more where keys are
// too busy for that, or keys without load where there is none.
func (p *Plan) forNewcomer(from int, capacity float64) (keyrange.Range, bool) {
	most := p.owners[from].load * newcomerPart
	for want := min(p.mean()*capacity*newcomerPart, most); want > 0; want = min(2*want, most) {
		if r, ok := p.window(from, want); ok {
			return r, true
		}
		if want >= most {
			break
		}
	}
	return p.widest()
}

// widest returns a part of the widest holding, for a server without keys.
func (p *Plan) widest() (keyrange.Range, bool) {
	var best keyrange.Range
	for _, h := range p.keys.Holdings() {
		if h.Range.Width() > best.Width() && !p.isMoving(h.Range) {
			best = h.Range
		}
	}
	width := int(newcomerWidth * float64(keyrange.Last+1) / float64(len(p.owners)))
	width = min(width, best.Width()/2)
	return keyrange.Range{From: best.To - width + 1, To: best.To}, width > 0
}
