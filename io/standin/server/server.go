// Package server is a stand-in for a backend server. It simulates slots, connection limits, fencing by grants,
// deadlines, draining, freezes, cold starts, load shedding, a load endpoint with delayed values and a health endpoint.
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
	// connectionDelay is the simulated time to establish a connection.
	connectionDelay = time.Millisecond
	// coldFactor is the factor by which a cold server multiplies the mean service time.
	coldFactor = 3
	// loadLag is the minimum time between two load samples and, except for the first sample, the minimum age of a
	// reported load.
	loadLag = 5 * time.Second
	// maxRunTime is the maximum duration of a run without a deadline.
	maxRunTime = time.Hour
	// frozenPollInterval is the interval at which a request checks whether the server is still frozen.
	frozenPollInterval = 5 * time.Millisecond
	readHeaderTimeout  = 5 * time.Second
	// maxRuns is the maximum number of recorded runs. Later runs are not recorded.
	maxRuns = 200_000
)

// Server simulates a backend server with random service times. It is safe for concurrent use.
type Server struct {
	settings  settings
	startedAt time.Time

	mu          sync.Mutex
	random      *rand.Rand
	running     int
	connections int
	draining    bool
	frozen      bool
	// lastGrant is the grant of the last admitted request. If ChecksGrants is set, requests with an older grant are
	// refused.
	lastGrant grant.Grant
	runs      []run.Run
	// loadSamples holds the number of running requests at each sample; the last sample was taken at sampledAt.
	loadSamples []int
	sampledAt   time.Time
}

// New returns a server that is cold until coldPeriod has passed since the call.
func New(name string, slots, connections int, checksGrants bool, serviceTime, coldPeriod time.Duration, seed uint64) *Server {
	return &Server{
		settings: settings{Name: name, Slots: slots, Connections: connections, ChecksGrants: checksGrants,
			ServiceTime: serviceTime, ColdPeriod: coldPeriod, Seed: seed},
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// HTTP returns an HTTP server that serves s and tracks its connections.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s.handler(), ConnState: s.trackConnection, ReadHeaderTimeout: readHeaderTimeout}
}

// Runs returns the recorded runs, at most maxRuns.
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

// trackConnection counts the open connections and delays new ones by connectionDelay.
func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
		time.Sleep(connectionDelay)
	case http.StateClosed, http.StateHijacked:
		s.connections--
	case http.StateActive, http.StateIdle:
	}
}

// serve simulates a run of the request for a random service time, or refuses the request before it runs. If the
// deadline passes or the client disconnects during the run, serve aborts the response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(backendserver.HeaderAttemptID, r.Header.Get(backendserver.HeaderAttemptID))
	s.waitWhileFrozen(r)
	deadline, _ := time.Parse(time.RFC3339Nano, r.Header.Get(backendserver.HeaderDeadline))
	if refused := s.admit(r, deadline); refused != "" {
		w.Header().Set(backendserver.HeaderRefused, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	record := run.Run{Server: s.settings.Name, Key: r.Header.Get(backendserver.HeaderKey),
		RequestID: r.Header.Get(backendserver.HeaderRequestID), Grant: r.Header.Get(backendserver.HeaderGrant), Began: time.Now()}
	index := s.recordStart(record)
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	isCompleted := true
	select {
	case <-timer.C:
	case <-r.Context().Done():
		isCompleted = false
	case <-time.After(durationUntil(deadline, maxRunTime)):
		isCompleted = false
	}
	s.endRun(index, isCompleted)
	if !isCompleted {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Server": record.Server, "Key": record.Key, "RequestID": record.RequestID,
		"BodyBytes": len(body)})
}

// admit takes a slot and returns "". If the request must be refused, it returns the value of the header
// [backendserver.HeaderRefused].
func (s *Server) admit(r *http.Request, deadline time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := parseGrant(r.Header.Get(backendserver.HeaderGrant))
	switch {
	case s.settings.ChecksGrants && g.Compare(s.lastGrant) < 0:
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
	s.lastGrant = g
	s.running++
	return ""
}

// recordStart records a run and returns the index of the record. Beyond maxRuns it records nothing and returns the
// index of the last record.
func (s *Server) recordStart(r run.Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) < maxRuns {
		s.runs = append(s.runs, r)
	}
	return len(s.runs) - 1
}

// endRun frees the slot of a run and records the end of the run.
func (s *Server) endRun(index int, isCompleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[index].Ended, s.runs[index].IsCompleted = time.Now(), isCompleted
}

// serviceTime returns a random service time: half the mean, plus an exponentially distributed time whose mean is the
// other half.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := float64(s.settings.ServiceTime)
	if time.Since(s.startedAt) < s.settings.ColdPeriod {
		mean *= coldFactor
	}
	return time.Duration(mean * (0.5 + s.random.ExpFloat64()/2))
}

// waitWhileFrozen blocks a new request until the server is no longer frozen or the client disconnects.
func (s *Server) waitWhileFrozen(r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(frozenPollInterval)
	}
}

// parseGrant parses a grant of the form "term.generation". It returns the zero grant if the text is malformed.
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

// durationUntil returns the time until t, or fallback if t is zero.
func durationUntil(t time.Time, fallback time.Duration) time.Duration {
	if t.IsZero() {
		return fallback
	}
	return time.Until(t)
}

// String returns the server's name and number of slots.
func (s *Server) String() string {
	return fmt.Sprintf("%s with %d slots", s.settings.Name, s.settings.Slots)
}
