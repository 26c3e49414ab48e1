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
	// failureDelay is the time after which a failed call is reported to its caller.
	failureDelay = 100 * time.Millisecond
	// watchTimeout is the time after which a watch without a change is answered.
	watchTimeout = 25 * time.Second
)

// platform is an in-memory fake of the platform's key-value store.
type platform struct {
	simulation   *Simulation
	records      map[string]record
	revision     int64
	isDown       bool
	losesAnswers bool
	watches      []watch
	calls        int
}

func newPlatform(sim *Simulation) *platform {
	return &platform{simulation: sim, records: map[string]record{}}
}

// isReachableFrom reports whether calls between a host and the platform get through.
func (p *platform) isReachableFrom(n *node) bool {
	return !p.isDown && !p.simulation.partitions[[2]string{n.name, "platform"}]
}

// read answers with a key's value: at once if f.AfterRevision is negative or older than the key's revision, otherwise on the
// key's next change. Without a change it answers after watchTimeout.
func (p *platform) read(n *node, f effect.ReadKey) {
	p.calls++
	if !p.isReachableFrom(n) {
		p.simulation.deliverToNode(n, failureDelay, event.PlatformFailed{ID: f.ID})
		return
	}
	p.simulation.After(p.simulation.networkDelay(), func() {
		r := p.current(f.Key)
		if f.AfterRevision < 0 || r.revision > f.AfterRevision {
			p.answerRead(n, f.ID, r)
			return
		}
		w := watch{node: n, id: f.ID, key: f.Key, after: f.AfterRevision}
		p.watches = append(p.watches, w)
		p.simulation.After(watchTimeout, func() { p.timeOutWatch(w) })
	})
}

// answerRead delivers a record, or a failure if the platform is unreachable at the time of the answer.
func (p *platform) answerRead(n *node, id int64, r record) {
	if !p.isReachableFrom(n) {
		p.simulation.deliverToNode(n, failureDelay, event.PlatformFailed{ID: id})
		return
	}
	p.simulation.deliverToNode(n, p.simulation.networkDelay(), event.KeyRead{ID: id, Value: r.value, Revision: r.revision})
}

// timeOutWatch closes a watch that is still open, and answers it with the revision in w.after and no value.
func (p *platform) timeOutWatch(w watch) {
	for i, open := range p.watches {
		if open == w {
			p.watches = append(p.watches[:i:i], p.watches[i+1:]...)
			p.answerRead(w.node, w.id, record{revision: w.after})
			return
		}
	}
}

// write stores a value if the key is at the expected revision. An empty value deletes the key.
func (p *platform) write(n *node, f effect.WriteKey) {
	p.calls++
	if !p.isReachableFrom(n) {
		p.simulation.deliverToNode(n, failureDelay, event.PlatformFailed{ID: f.ID})
		return
	}
	p.simulation.After(p.simulation.networkDelay(), func() {
		if p.current(f.Key).revision != f.ExpectedRevision {
			p.simulation.deliverToNode(n, p.simulation.networkDelay(), event.KeyConflicted{ID: f.ID})
			return
		}
		p.revision++
		next := record{value: f.Value, revision: p.revision}
		if f.TTL > 0 {
			next.expiresAt = p.simulation.Now().Add(f.TTL)
		}
		p.records[f.Key] = next
		if len(f.Value) == 0 {
			delete(p.records, f.Key)
		}
		p.notifyWatches(f.Key)
		if p.losesAnswers || !p.isReachableFrom(n) {
			p.simulation.deliverToNode(n, failureDelay, event.PlatformFailed{ID: f.ID})
			return
		}
		p.simulation.deliverToNode(n, p.simulation.networkDelay(), event.KeyWritten{ID: f.ID, Revision: next.revision})
	})
}

// put writes a key without a revision check, as an operator's tool does.
func (p *platform) put(key string, value []byte) {
	p.revision++
	p.records[key] = record{value: value, revision: p.revision}
	p.notifyWatches(key)
}

// notifyWatches answers and closes the watches of a key that has changed.
func (p *platform) notifyWatches(key string) {
	var remaining []watch
	for _, w := range p.watches {
		if w.key == key {
			p.answerRead(w.node, w.id, p.current(key))
		} else {
			remaining = append(remaining, w)
		}
	}
	p.watches = remaining
}

// current returns a key's record, or an empty one if the key is absent or has expired.
func (p *platform) current(key string) record {
	r := p.records[key]
	if !r.expiresAt.IsZero() && p.simulation.Now().After(r.expiresAt) {
		return record{}
	}
	return r
}

func encodeJSON(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func compareNames(a, b string) int { return strings.Compare(a, b) }
