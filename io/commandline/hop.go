package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"redwingsill/core/kind"
	"redwingsill/io/task"
)

const (
	hopHosts       = 3
	hopWorkers     = 8
	hopServerSlots = 64
	hopToken       = "measure-hop"
)

func hopCommand() *cli.Command {
	return &cli.Command{
		Name:  "hop",
		Usage: "the cost of the way through entry hosts against a direct call, over loopback in this process",
		Description: "Runs three entry hosts and the stand-ins in this process, and calls one backend server directly, through its\n" +
			"steward, and through another entry host. Figures of processor time and allocations are those of all together.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to measure each way", Value: 4 * time.Second, Sources: cli.EnvVars("REDWINGSILL_DURATION")},
			stringFlag("format", "REDWINGSILL_FORMAT", "table or json", "table"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			results, err := measureHops(ctx, c.Duration("duration"))
			if err != nil {
				return newError("measure hop", kind.Unavailable, err)
			}
			text, err := json.MarshalIndent(map[string]any{"Results": results}, "", "  ")
			if err != nil {
				return newError("measure hop", kind.Invalid, err)
			}
			if c.String("format") == "json" {
				_, err = fmt.Fprintln(c.Root().Writer, string(text))
				return err
			}
			return printTables(c, text)
		},
	}
}

// measureHops runs a small deployment in this process and measures each way through it.
func measureHops(ctx context.Context, length time.Duration) ([]hopResult, error) {
	tasks, wait := task.New(ctx)
	defer wait()
	d, err := startHopDeployment(tasks)
	if err != nil {
		return nil, err
	}
	steward, err := d.awaitLeaseHolder()
	if err != nil {
		return nil, err
	}
	other := d.callers[0]
	if other == steward {
		other = d.callers[1]
	}
	ways := []struct{ name, url string }{
		{"direct", "http://" + d.server + "/"},
		{"through the steward", steward + "/v1/services/inventario/keys/k"},
		{"through another entry host", other + "/v1/services/inventario/keys/k"},
	}
	var results []hopResult
	for _, w := range ways {
		r, err := measurePath(w.name, w.url, length)
		if err != nil {
			return nil, err
		}
		if len(results) > 0 {
			r.AddedP50Micros, r.AddedP99Micros = r.P50Micros-results[0].P50Micros, r.P99Micros-results[0].P99Micros
		}
		results = append(results, r)
	}
	return results, nil
}

// measureWay calls a URL from several workers for a time.
func measurePath(name, url string, length time.Duration) (hopResult, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopWorkers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var took []time.Duration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	began := time.Now()
	tasks, wait := task.New(context.Background())
	ends := make(chan error, hopWorkers)
	for range hopWorkers {
		tasks.Go(func(context.Context) {
			var own []time.Duration
			var err error
			for err == nil && time.Since(began) < length {
				at := time.Now()
				err = get(client, url)
				own = append(own, time.Since(at))
			}
			mu.Lock()
			took = append(took, own...)
			mu.Unlock()
			ends <- err
		})
	}
	var failed error
	for range hopWorkers {
		if err := <-ends; err != nil {
			failed = err
		}
	}
	wait()
	elapsed, used := time.Since(began), cpuTime()-cpu
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	n := float64(len(took))
	return hopResult{Path: name, Requests: len(took), RequestsPerSecond: n / elapsed.Seconds(), RequestsForEachCore: n / used.Seconds(),
		P50Micros: quantileMicros(took, 0.5), P99Micros: quantileMicros(took, 0.99),
		AllocationsPerRequest: float64(after.Mallocs-before.Mallocs) / n, BytesPerRequest: float64(after.TotalAlloc-before.TotalAlloc) / n}, failed
}

func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d: %s", url, response.StatusCode, response.Header.Get("Redwingsill-Reason"))
	}
	return err
}

func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]) / float64(time.Microsecond)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
