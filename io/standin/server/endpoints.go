package server

import (
	"encoding/json"
	"net/http"
	"time"
)

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// drain makes the server refuse new requests, or accept them again if the query parameter off is set.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = r.URL.Query().Get("off") == ""
	w.WriteHeader(http.StatusOK)
}

// freeze makes the server hold new requests without a response, or resume if the query parameter off is set. The load,
// health and admin endpoints keep responding.
func (s *Server) freeze(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = r.URL.Query().Get("off") == ""
	w.WriteHeader(http.StatusOK)
}

// load responds with the number of running requests in the last sample but one, which is at least loadLag old. While
// there is only one sample, load responds with that sample.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.sampledAt) > loadLag {
		s.loadSamples = append(s.loadSamples, s.running)
		s.sampledAt = time.Now()
	}
	delayed := s.loadSamples[max(0, len(s.loadSamples)-2)]
	_ = json.NewEncoder(w).Encode(map[string]any{"Running": delayed, "Slots": s.settings.Slots})
}
