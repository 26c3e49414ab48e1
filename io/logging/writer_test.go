package logging_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingsill/io/logging"
)

// output records what is written to it. If blocked is set, a write waits until blocked is closed.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(b []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) count(substring string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), substring)
}

// run starts w.Run and returns a function that cancels its context and waits until it has returned.
func run(w *logging.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func TestFloodOfOneMessageKeepsOtherMessages(t *testing.T) {
	out := &output{}
	now := time.Unix(1000, 0)
	log, w := logging.New(out, slog.LevelInfo, "ilo-1", func() time.Time { return now })
	stop := run(w)
	for i := range 10_000 {
		log.Info("request", "ID", i)
		if i%2_000 == 0 {
			log.Warn("store lost", "Failures", i)
			time.Sleep(5 * time.Millisecond) // lets Run write lines while the flood goes on
		}
	}
	stop()
	if got := out.count("msg=request "); got != 40 {
		t.Errorf("%d lines of the flooding message, want the limit of 40", got)
	}
	if got := out.count(`msg="store lost"`); got != 5 {
		t.Errorf("%d lines of the other message, want 5", got)
	}
	if got := out.count("Kind=request Lines=9960"); got != 1 || w.Dropped() != 9960 {
		t.Errorf("suppressed lines reported %d times and %d counted, want 1 and 9960\n%s", got, w.Dropped(), out.text.String())
	}
}

func TestRateLimitAppliesPerSecond(t *testing.T) {
	out := &output{}
	now := time.Unix(1000, 0)
	log, w := logging.New(out, slog.LevelInfo, "ilo-1", func() time.Time { return now })
	for range 3 {
		for range 30 {
			log.With("Prefix", "p").Info("request")
		}
		now = now.Add(time.Second)
	}
	run(w)() // writes the queued lines
	if got := out.count("msg=request"); got != 90 {
		t.Errorf("%d lines within the limit, want 90", got)
	}
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &output{blocked: make(chan struct{})}
	log, w := logging.New(out, slog.LevelInfo, "ilo-1", time.Now)
	stop := run(w)
	start := time.Now()
	for i := range 20_000 {
		log.Info(fmt.Sprint("message ", i%500)) // 40 lines of each message, so that none is suppressed
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("20,000 lines took %v, want at most 2s", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.blocked)
	stop()
}

// Errors quote what they could not read, which may be a megabyte, and the queue holds many lines.
func TestALongLineIsCut(t *testing.T) {
	out := &output{}
	log, w := logging.New(out, slog.LevelInfo, "ilo-1", time.Now)
	log.Info("long", "Error", strings.Repeat("x", 1<<20))
	log.Info("short", "Error", "y")
	run(w)()
	lines := strings.Split(strings.TrimSuffix(out.text.String(), "\n"), "\n")
	if len(lines) != 2 || len(lines[0]) > 16<<10 || !strings.HasSuffix(lines[0], "xxx...") || !strings.HasSuffix(lines[1], "Error=y") {
		t.Errorf("%d lines of %d bytes, want two lines, the first of at most 16 KiB", len(lines), out.text.Len())
	}
}
