// Package logging writes structured log lines without blocking the caller. Operators search for the texts of
// messages, so a message keeps its text.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written, a few seconds of typical output.
	maxQueuedLines = 512
	// maxLineBytes bounds a line. Longer ones are cut and end in cutMark.
	maxLineBytes = 16 << 10
	cutMark      = "...\n"
	// maxLinesPerSecond limits the lines with one message, because each line takes processor time from requests. The limit
	// is per message, so that a flood of one message doesn't suppress the others.
	maxLinesPerSecond = 40
	// reportInterval is the time between two reports of suppressed lines.
	reportInterval = time.Second
)

// Writer writes log lines from a queue. Lines that arrive while the queue is full are dropped. Lines beyond the rate
// limit of their message are not queued but suppressed, and their number is logged every reportInterval.
type Writer struct {
	out   io.Writer
	queue chan []byte
	// dropped counts the lines that arrived while the queue was full and those whose write failed.
	dropped  atomic.Int64
	limiters *limiters
	// log logs to the queue without a rate limit.
	log *slog.Logger
}

// New returns a logger of key=value lines with the host's name, and the writer that it logs to. The caller must call
// the writer's Run. Lines are rate-limited by message, so messages must be constants.
func New(out io.Writer, level slog.Level, host string, now func() time.Time) (*slog.Logger, *Writer) {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), limiters: newLimiters(now)}
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	w.log = slog.New(handler).With("Host", host)
	return slog.New(rateLimitedHandler{Handler: handler, limiters: w.limiters}).With("Host", host), w
}

// Write implements io.Writer. It queues a copy of the line and never blocks; if the queue is full, it drops the line.
func (w *Writer) Write(line []byte) (int, error) {
	text := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		text = append(text[:maxLineBytes-len(cutMark)], cutMark...)
	}
	select {
	case w.queue <- text:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written since the start, whether dropped or suppressed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() + w.limiters.suppressed() }

// Run writes queued lines and reports suppressed ones until the context is done, and then writes the lines still in the
// queue.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-ticker.C:
			w.logSuppressed()
		case <-ctx.Done():
			w.logSuppressed()
			for len(w.queue) > 0 {
				w.writeLine(<-w.queue)
			}
			return
		}
	}
}

// logSuppressed logs the number of lines suppressed since the last report, by message. These reports have no rate
// limit.
func (w *Writer) logSuppressed() {
	for message, lines := range w.limiters.takeSuppressed() {
		w.log.Warn("log lines left out", "Kind", message, "Lines", lines, "Bound", maxLinesPerSecond)
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // a failed log write can only be counted
	}
}
