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
	// queued is how many lines may wait to be written: a few seconds of an ordinary day.
	queued = 512
	// perKind bounds the lines of one kind in a second, since each costs processor time that requests need. A flood of one
	// kind leaves the others alone.
	perKind = 40
	// reportEvery is the time between two reports of lines that were left out.
	reportEvery = time.Second
)

// Logging is a writer of log lines. Lines that come faster than they can be written, or than the bound of their kind allows,
// are left out, counted and reported.
type Logging struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	kinds   *kinds
	log     *slog.Logger
}

// New returns a logger of key=value lines with the host's name, and the writer behind it, whose Run must be called. The
// message of a line is its kind.
func New(out io.Writer, level slog.Level, host string, now func() time.Time) (*slog.Logger, *Logging) {
	l := &Logging{out: out, queue: make(chan []byte, queued), kinds: newKinds(now)}
	lines := slog.NewTextHandler(l, &slog.HandlerOptions{Level: level})
	l.log = slog.New(lines).With("Host", host)
	return slog.New(bounded{Handler: lines, kinds: l.kinds}).With("Host", host), l
}

// Write implements io.Writer. It never waits.
func (l *Logging) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (l *Logging) Dropped() int64 { return l.dropped.Load() + l.kinds.leftOut() }

// Run writes lines until the context ends and all that waited is written.
func (l *Logging) Run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-ticker.C:
			l.report()
		case <-ctx.Done():
			l.report()
			for len(l.queue) > 0 {
				l.write(<-l.queue)
			}
			return
		}
	}
}

// report tells how many lines of each kind were left out since the last report.
func (l *Logging) report() {
	for kind, lines := range l.kinds.unreported() {
		l.log.Warn("log lines left out", "Kind", kind, "Lines", lines, "Bound", perKind)
	}
}

func (l *Logging) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1) // there is nowhere else to tell it than the counter
	}
}
