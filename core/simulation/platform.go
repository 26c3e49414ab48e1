package simulation

import (
	"encoding/json"
	"strings"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/platformkey"
)

const (
	configurationKey = string(platformkey.Configuration)
	failTime         = 100 * time.Millisecond
	watchTime        = 25 * time.Second
)

// platform is a fake of the platform's service.
type platform struct {
	drive        *Simulation
	records      map[string]record
	revision     int64
	isDown       bool
	losesAnswers bool
	watches      []watch
	calls        int
}

func newPlatform(d *Simulation) *platform {
	return &platform{drive: d, records: map[string]record{}}
}

// reaches reports whether a host's call gets through.
func (p *platform) reaches(n *node) bool {
	return !p.isDown && !p.drive.cuts[[2]string{n.name, "platform"}]
}

func (p *platform) read(n *node, f effect.ReadKey) {
	p.calls++
	if !p.reaches(n) {
		p.drive.deliverTo(n, failTime, event.PlatformFailed{ID: f.ID})
		return
	}
	p.drive.After(p.drive.delay(), func() {
		r := p.present(f.Key)
		if f.AfterRevision < 0 || r.revision > f.AfterRevision {
			p.answer(n, f.ID, r)
			return
		}
		w := watch{node: n, id: f.ID, key: f.Key, after: f.AfterRevision}
		p.watches = append(p.watches, w)
		p.drive.After(watchTime, func() { p.end(w) })
	})
}

func (p *platform) answer(n *node, id int64, r record) {
	if !p.reaches(n) {
		p.drive.deliverTo(n, failTime, event.PlatformFailed{ID: id})
		return
	}
	p.drive.deliverTo(n, p.drive.delay(), event.KeyRead{ID: id, Value: r.value, Revision: r.revision})
}

// end ends a watch that saw no change.
func (p *platform) end(w watch) {
	for i, open := range p.watches {
		if open == w {
			p.watches = append(p.watches[:i:i], p.watches[i+1:]...)
			p.answer(w.node, w.id, record{revision: w.after})
			return
		}
	}
}

func (p *platform) write(n *node, f effect.WriteKey) {
	p.calls++
	if !p.reaches(n) {
		p.drive.deliverTo(n, failTime, event.PlatformFailed{ID: f.ID})
		return
	}
	p.drive.After(p.drive.delay(), func() {
		if p.present(f.Key).revision != f.ExpectedRevision {
			p.drive.deliverTo(n, p.drive.delay(), event.KeyConflicted{ID: f.ID})
			return
		}
		p.revision++
		next := record{value: f.Value, revision: p.revision}
		if f.TTL > 0 {
			next.lapsesAt = p.drive.Now().Add(f.TTL)
		}
		p.records[f.Key] = next
		if len(f.Value) == 0 {
			delete(p.records, f.Key)
		}
		p.wake(f.Key)
		if p.losesAnswers || !p.reaches(n) {
			p.drive.deliverTo(n, failTime, event.PlatformFailed{ID: f.ID})
			return
		}
		p.drive.deliverTo(n, p.drive.delay(), event.KeyWritten{ID: f.ID, Revision: next.revision})
	})
}

// put writes a key as an operator would.
func (p *platform) put(key string, value []byte) {
	p.revision++
	p.records[key] = record{value: value, revision: p.revision}
	p.wake(key)
}

func (p *platform) wake(key string) {
	var rest []watch
	for _, w := range p.watches {
		if w.key == key {
			p.answer(w.node, w.id, p.present(key))
		} else {
			rest = append(rest, w)
		}
	}
	p.watches = rest
}

func (p *platform) present(key string) record {
	r := p.records[key]
	if !r.lapsesAt.IsZero() && p.drive.Now().After(r.lapsesAt) {
		return record{}
	}
	return r
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func compare(a, b string) int { return strings.Compare(a, b) }
