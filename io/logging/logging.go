// Package logging writes structured log lines without ever holding up who logs.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// lines is how many lines may wait to be written: some seconds of the most that perSecond allows.
	lines = 512
	// perSecond bounds the lines a second, since each costs processor time that requests need; more are counted.
	perSecond = 100
)

// Logging is a writer of log lines. Lines that come faster than they can be written, or than the bound allows, are dropped
// and counted.
type Logging struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
	now     func() time.Time
}

// New returns a logger of JSON lines with the host's name, and the writer behind it, whose Run must be called.
func New(out io.Writer, level slog.Level, host string, now func() time.Time) (*slog.Logger, *Logging) {
	l := &Logging{out: out, queue: make(chan []byte, lines), now: now}
	return slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level})).With("Host", host), l
}

// Write implements io.Writer. It never waits.
func (l *Logging) Write(line []byte) (int, error) {
	if second := l.now().Unix(); l.second.Swap(second) != second {
		l.count.Store(0)
	}
	if l.count.Add(1) > perSecond {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (l *Logging) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until the context ends and all that waited is written.
func (l *Logging) Run(ctx context.Context) {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-ctx.Done():
			for len(l.queue) > 0 {
				l.write(<-l.queue)
			}
			return
		}
	}
}

func (l *Logging) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1) // there is nowhere else to tell it than the counter
	}
}
