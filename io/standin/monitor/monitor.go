// Package monitor is a stand-in for the monitoring system that reports which backend servers are down.
package monitor

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Monitor serves the list of backend servers that are down. It is safe for concurrent use.
type Monitor struct {
	mu   sync.Mutex
	down []string
	// unresponsive makes the monitor hold requests for the list without a response.
	unresponsive bool
}

// New returns a monitor that reports no server as down.
func New() *Monitor { return &Monitor{down: []string{}} }

// Handler returns the handler of the list of down servers and of the /admin endpoint that sets it.
func (m *Monitor) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/verdicts", m.verdicts).Methods(http.MethodGet)
	r.HandleFunc("/admin/verdicts", m.setVerdicts).Methods(http.MethodPost)
	return r
}

func (m *Monitor) verdicts(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	down, unresponsive := m.down, m.unresponsive
	m.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Down": down})
}

// setVerdicts sets the list of down servers. If Silent is set, later requests for the list get no response.
func (m *Monitor) setVerdicts(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Down   []string
		Silent bool
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.unresponsive = request.Down, request.Silent
}
