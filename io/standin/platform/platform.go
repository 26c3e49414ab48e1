// Package platform is a small stand-in for the platform's service: keys with compare-and-swap, leases and watches, and
// a lagging list of hosts.
package platform

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"redwingsill/core/hostentry"
)

const (
	maxValue = 1 << 20 // bytes
	maxWait  = 30 * time.Second
)

// Platform is the stand-in. Its methods may be called at the same time.
type Platform struct {
	mu       sync.Mutex
	now      func() time.Time
	records  map[string]record
	revision int64
	changed  chan struct{}
	faults   faults
	listings []listing
	calls    map[string]int64
	second   int64
	inSecond map[string]int
	waiting  int
}

// New returns an empty service that reads a clock.
func New(now func() time.Time) *Platform {
	return &Platform{now: now, records: map[string]record{}, changed: make(chan struct{}), calls: map[string]int64{},
		inSecond: map[string]int{}}
}

// SetHosts replaces the list of hosts. Readers see it after the lag.
func (p *Platform) SetHosts(hosts []hostentry.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listings = append(p.listings, listing{at: p.now(), hosts: hosts})
}

// Handler returns the handler of the service and of its switches under /admin.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/read", p.guard("read", p.read)).Methods(http.MethodPost)
	r.HandleFunc("/v1/write", p.guard("write", p.write)).Methods(http.MethodPost)
	r.HandleFunc("/v1/hosts", p.guard("hosts", p.hosts)).Methods(http.MethodPost)
	r.HandleFunc("/admin/faults", p.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/admin/hosts", p.setHosts).Methods(http.MethodPost)
	r.HandleFunc("/admin/calls", p.count).Methods(http.MethodGet)
	return r
}

// guard applies the faults to a call and counts it.
func (p *Platform) guard(call string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[call]++
		f := p.faults
		isOver := p.isOverCeiling(call, f)
		p.mu.Unlock()
		switch {
		case f.Freeze:
			// The server notices that the caller has gone only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case f.Down || isOver:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.Delay > 0:
			time.Sleep(f.Delay.Std())
		}
		next(w, r)
	}
}

func (p *Platform) isOverCeiling(call string, f faults) bool {
	if second := p.now().Unix(); second != p.second {
		p.second, p.inSecond = second, map[string]int{}
	}
	kind, limit := "read", f.MaxReads
	if call == "write" {
		kind, limit = "write", f.MaxWrites
	}
	p.inSecond[kind]++
	return limit > 0 && p.inSecond[kind] > limit
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key   string
		After int64
		Wait  string
	}
	if !decode(w, r, &request) {
		return
	}
	wait, err := time.ParseDuration(request.Wait)
	if err != nil || request.After < 0 {
		wait = 0
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	p.wait(1)
	defer p.wait(-1)
	for {
		found, changed := p.find(request.Key)
		if request.After < 0 || found.revision > request.After {
			writeJSON(w, map[string]any{"Value": found.value, "Revision": found.revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"Revision": request.After})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key      string
		Value    []byte
		Revision int64
		TTL      string
	}
	if !decode(w, r, &request) {
		return
	}
	if len(request.Value) > maxValue {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		http.Error(w, "TTL: "+err.Error(), http.StatusBadRequest)
		return
	}
	revision, ok := p.swap(request.Key, request.Value, request.Revision, ttl)
	if p.losesAnswers() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, map[string]any{"Revision": revision})
}

// swap writes a key whose revision is the one given.
func (p *Platform) swap(key string, value []byte, revision int64, ttl time.Duration) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.present(key).revision != revision {
		return 0, false
	}
	p.revision++
	next := record{value: value, revision: p.revision}
	if ttl > 0 {
		if p.faults.LapseEarly {
			ttl /= 2
		}
		next.lapsesAt = p.now().Add(ttl)
	}
	p.records[key] = next
	if len(value) == 0 {
		delete(p.records, key)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision, true
}

func (p *Platform) hosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := []hostentry.HostEntry{}
	for i, l := range p.listings {
		if i == 0 || !l.at.After(p.now().Add(-p.faults.ListLag.Std())) {
			seen = l.hosts
		}
	}
	writeJSON(w, map[string]any{"Hosts": seen})
}

func (p *Platform) find(key string) (record, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.present(key), p.changed
}

// present returns a key's record unless its lease has lapsed.
func (p *Platform) present(key string) record {
	r := p.records[key]
	if !r.lapsesAt.IsZero() && p.now().After(r.lapsesAt) {
		delete(p.records, key)
		return record{}
	}
	return r
}

func (p *Platform) losesAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseAnswers
}

func (p *Platform) wait(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += change
}
