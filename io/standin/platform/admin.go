package platform

import (
	"encoding/json"
	"net/http"

	"redwingsill/core/hostentry"
)

// setFaults replaces the injected faults.
func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var next faults
	if !decode(w, r, &next) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = next
}

// setHosts replaces the list of hosts, see SetHosts.
func (p *Platform) setHosts(w http.ResponseWriter, r *http.Request) {
	var request struct{ Hosts []hostentry.HostEntry }
	if decode(w, r, &request) {
		p.SetHosts(request.Hosts)
	}
}

// listCalls responds with the number of calls of each operation and the number of waiting reads.
func (p *Platform) listCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, map[string]any{"Calls": p.calls, "Waiting": p.waitingReads})
}

// decode decodes the JSON body of a request into target, or responds with an error and returns false. The body may be
// twice as large as the largest value, because JSON carries values in base64.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValueBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
