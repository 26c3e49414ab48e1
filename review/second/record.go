package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// runs has the attempts at which a server began to work.
	runs map[string]bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), runs: map[string]bool{}}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // a lost line changes no result
}

// began records that a server began to work on an attempt.
func (r *record) began(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = true
}

// hasBegun reports whether a server began to work on an attempt.
func (r *record) hasBegun(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}
