package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// writef writes a line with the seconds since the start.
func (r *record) writef(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...) // close reports the error
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	_ = r.file.Close() // its content is flushed
}
