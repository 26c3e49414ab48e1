// Package monitor is a small stand-in for the monitoring group.
package monitor

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Monitor is the stand-in. Its methods may be called at the same time.
type Monitor struct {
	mu     sync.Mutex
	down   []string
	silent bool
}

// New returns a feed that calls nothing down.
func New() *Monitor { return &Monitor{down: []string{}} }

// Handler returns the handler of the feed and of its switches under /admin.
func (m *Monitor) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/verdicts", m.verdicts).Methods(http.MethodGet)
	r.HandleFunc("/admin/verdicts", m.set).Methods(http.MethodPost)
	return r
}

func (m *Monitor) verdicts(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	down, silent := m.down, m.silent
	m.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Down": down})
}

func (m *Monitor) set(w http.ResponseWriter, r *http.Request) {
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
	m.down, m.silent = request.Down, request.Silent
}
