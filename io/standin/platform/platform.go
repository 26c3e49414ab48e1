// Package platform is a stand-in for the platform: a key-value store with compare-and-swap, expiring keys and watches,
// and an eventually consistent list of hosts.
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
	maxValueBytes = 1 << 20
	// maxWait is the longest time for which a read waits for a change.
	maxWait = 30 * time.Second
)

// Platform simulates the platform and keeps all data in memory. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	now     func() time.Time
	records map[string]record
	// revision is that of the last write to any key.
	revision int64
	// changed is closed and replaced at each write.
	changed chan struct{}
	faults  faults
	// hostLists holds all versions of the list of hosts, oldest first.
	hostLists []hostList
	// calls counts the calls by operation.
	calls map[string]int64
	// currentSecond is the Unix time of the current second. callsInSecond counts the reads and the writes in that
	// second.
	currentSecond int64
	callsInSecond map[string]int
	// waitingReads is the number of reads that have not been answered yet.
	waitingReads int
}

// New returns an empty platform. The expiry of keys, rate limits and the age of host lists are measured with now.
func New(now func() time.Time) *Platform {
	return &Platform{now: now, records: map[string]record{}, changed: make(chan struct{}), calls: map[string]int64{},
		callsInSecond: map[string]int{}}
}

// SetHosts replaces the list of hosts. If the fault ListLag is set, clients get the new list only after that time.
func (p *Platform) SetHosts(hosts []hostentry.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{setAt: p.now(), hosts: hosts})
}

// Handler returns the handler of the platform's API and of the /admin endpoints, which inject faults, set the list of
// hosts and report the number of calls.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/read", p.withFaults("read", p.read)).Methods(http.MethodPost)
	r.HandleFunc("/v1/write", p.withFaults("write", p.write)).Methods(http.MethodPost)
	r.HandleFunc("/v1/hosts", p.withFaults("hosts", p.hosts)).Methods(http.MethodPost)
	r.HandleFunc("/admin/faults", p.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/admin/hosts", p.setHosts).Methods(http.MethodPost)
	r.HandleFunc("/admin/calls", p.listCalls).Methods(http.MethodGet)
	return r
}

// withFaults counts a call and applies the injected faults to it.
func (p *Platform) withFaults(call string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[call]++
		f := p.faults
		isLimited := p.exceedsRateLimit(call, f)
		p.mu.Unlock()
		switch {
		case f.Freeze:
			// net/http detects that the client has disconnected only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case f.Down || isLimited:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.Delay > 0:
			time.Sleep(f.Delay.Std())
		}
		next(w, r)
	}
}

// exceedsRateLimit counts a call in the current second and reports whether the call is over the limit. Calls other than
// writes count as reads. The lock must be held.
func (p *Platform) exceedsRateLimit(call string, f faults) bool {
	if second := p.now().Unix(); second != p.currentSecond {
		p.currentSecond, p.callsInSecond = second, map[string]int{}
	}
	kind, limit := "read", f.MaxReads
	if call == "write" {
		kind, limit = "write", f.MaxWrites
	}
	p.callsInSecond[kind]++
	return limit > 0 && p.callsInSecond[kind] > limit
}

// read responds with a key's value and revision once the revision is greater than After, or at once if After is
// negative. If that takes longer than Wait, or than maxWait, read responds with the revision After and no value.
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
	p.addWaitingRead(1)
	defer p.addWaitingRead(-1)
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

// write sets a key if its revision is the expected one, and otherwise responds with status 409. An empty value deletes
// the key.
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
	if len(request.Value) > maxValueBytes {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		http.Error(w, "TTL: "+err.Error(), http.StatusBadRequest)
		return
	}
	revision, ok := p.compareAndSwap(request.Key, request.Value, request.Revision, ttl)
	if p.dropsResponses() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, map[string]any{"Revision": revision})
}

// compareAndSwap writes a key if its revision is the given one, and returns the new revision and whether the key was
// written. An empty value deletes the key.
func (p *Platform) compareAndSwap(key string, value []byte, revision int64, ttl time.Duration) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentRecord(key).revision != revision {
		return 0, false
	}
	p.revision++
	next := record{value: value, revision: p.revision}
	if ttl > 0 {
		if p.faults.LapseEarly {
			ttl /= 2
		}
		next.expiresAt = p.now().Add(ttl)
	}
	p.records[key] = next
	if len(value) == 0 {
		delete(p.records, key)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision, true
}

// hosts responds with the newest list of hosts that was set at least ListLag ago, or with the oldest list if there is
// none.
func (p *Platform) hosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []hostentry.HostEntry{}
	for i, l := range p.hostLists {
		if i == 0 || !l.setAt.After(p.now().Add(-p.faults.ListLag.Std())) {
			hosts = l.hosts
		}
	}
	writeJSON(w, map[string]any{"Hosts": hosts})
}

// find returns the current record of a key, and a channel that is closed at the next write.
func (p *Platform) find(key string) (record, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentRecord(key), p.changed
}

// currentRecord returns the record of a key, or the zero record if the key is absent. It deletes a key that has
// expired. The lock must be held.
func (p *Platform) currentRecord(key string) record {
	r := p.records[key]
	if !r.expiresAt.IsZero() && p.now().After(r.expiresAt) {
		delete(p.records, key)
		return record{}
	}
	return r
}

// dropsResponses reports whether the responses to writes are lost, because the fault LoseAnswers is set.
func (p *Platform) dropsResponses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseAnswers
}

func (p *Platform) addWaitingRead(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingReads += delta
}
