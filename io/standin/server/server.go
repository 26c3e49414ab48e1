// Package server is a small stand-in for a backend server: slots, connections, fenced grants, deadlines, draining, cold
// starts, shedding, and load and health endpoints that lag.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"redwingsill/core/grant"
	"redwingsill/io/backendserver"
	"redwingsill/io/standin/run"
)

const (
	connectionCost = time.Millisecond
	coldFactor     = 3
	loadLag        = 5 * time.Second
	maxRuns        = 200_000
)

// Server is the stand-in. Its methods may be called at the same time.
type Server struct {
	settings settings
	began    time.Time

	mu          sync.Mutex
	random      *rand.Rand
	running     int
	connections int
	draining    bool
	frozen      bool
	highest     grant.Grant
	runs        []run.Run
	loads       []int
	loadAt      time.Time
}

// New returns a server that has just started.
func New(name string, slots, connections int, checksGrants bool, serviceTime, coldFor time.Duration, seed uint64) *Server {
	return &Server{
		settings: settings{Name: name, Slots: slots, Connections: connections, ChecksGrants: checksGrants,
			ServiceTime: serviceTime, ColdFor: coldFor, Seed: seed},
		began:  time.Now(),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// HTTP returns an HTTP server that serves the stand-in and counts its connections.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s.handler(), ConnState: s.track, ReadHeaderTimeout: 5 * time.Second}
}

// Runs returns all runs so far.
func (s *Server) Runs() []run.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run.Run{}, s.runs...)
}

func (s *Server) handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/admin/runs", s.listRuns).Methods(http.MethodGet)
	r.HandleFunc("/admin/drain", s.drain).Methods(http.MethodPost)
	r.HandleFunc("/admin/freeze", s.freeze).Methods(http.MethodPost)
	r.HandleFunc("/load", s.load).Methods(http.MethodGet)
	r.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// track counts connections; a new one costs time.
func (s *Server) track(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
		time.Sleep(connectionCost)
	case http.StateClosed, http.StateHijacked:
		s.connections--
	case http.StateActive, http.StateIdle:
	}
}

// serve runs an order, or refuses it before running.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.awaitThaw(r)
	deadline, _ := time.Parse(time.RFC3339Nano, r.Header.Get(backendserver.HeaderDeadline))
	if refused := s.admit(r, deadline); refused != "" {
		w.Header().Set(backendserver.HeaderRefused, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	record := run.Run{Server: s.settings.Name, Key: r.Header.Get(backendserver.HeaderKey),
		RequestID: r.Header.Get(backendserver.HeaderRequestID), Grant: r.Header.Get(backendserver.HeaderGrant), Began: time.Now()}
	index := s.begin(record)
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	isWhole := true
	select {
	case <-timer.C:
	case <-r.Context().Done():
		isWhole = false
	case <-time.After(untilOr(deadline, time.Hour)):
		isWhole = false
	}
	s.end(index, isWhole)
	if !isWhole {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Server": record.Server, "Key": record.Key, "RequestID": record.RequestID,
		"BodyBytes": len(body)})
}

// admit takes a slot, or returns why not.
func (s *Server) admit(r *http.Request, deadline time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := parseGrant(r.Header.Get(backendserver.HeaderGrant))
	switch {
	case s.settings.ChecksGrants && g.Compare(s.highest) < 0:
		return "Grant"
	case !deadline.IsZero() && time.Now().After(deadline):
		return "Deadline"
	case s.draining:
		return "Draining"
	case s.connections > s.settings.Connections:
		return "Connections"
	case s.running >= s.settings.Slots:
		return "Shed"
	}
	s.highest = g
	s.running++
	return ""
}

func (s *Server) begin(r run.Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) < maxRuns {
		s.runs = append(s.runs, r)
	}
	return len(s.runs) - 1
}

func (s *Server) end(index int, isWhole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[index].Ended, s.runs[index].IsWhole = time.Now(), isWhole
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := float64(s.settings.ServiceTime)
	if time.Since(s.began) < s.settings.ColdFor {
		mean *= coldFactor
	}
	return time.Duration(mean * (0.5 + s.random.ExpFloat64()/2))
}

// awaitThaw holds a request while the server is frozen. A frozen server goes on afterwards as if nothing happened.
func (s *Server) awaitThaw(r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = r.URL.Query().Get("off") == ""
	w.WriteHeader(http.StatusOK)
}

func (s *Server) freeze(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = r.URL.Query().Get("off") == ""
	w.WriteHeader(http.StatusOK)
}

// load tells the requests that ran a while ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.loadAt) > loadLag {
		s.loads = append(s.loads, s.running)
		s.loadAt = time.Now()
	}
	lagging := s.loads[max(0, len(s.loads)-2)]
	_ = json.NewEncoder(w).Encode(map[string]any{"Running": lagging, "Slots": s.settings.Slots})
}

func parseGrant(text string) grant.Grant {
	term, generation, _ := strings.Cut(text, ".")
	t, err := strconv.ParseInt(term, 10, 64)
	if err != nil {
		return grant.Grant{}
	}
	g, err := strconv.ParseInt(generation, 10, 64)
	if err != nil {
		return grant.Grant{}
	}
	return grant.Grant{Term: t, Generation: g}
}

func untilOr(t time.Time, otherwise time.Duration) time.Duration {
	if t.IsZero() {
		return otherwise
	}
	return time.Until(t)
}

// String returns the server's name and size.
func (s *Server) String() string {
	return fmt.Sprintf("%s with %d slots", s.settings.Name, s.settings.Slots)
}
