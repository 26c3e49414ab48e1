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
	"redwingsill/io/responseconn"
	"redwingsill/io/task"
)

const (
	// hopHosts is the number of entry hosts in the measured deployment.
	hopHosts = 3
	// hopWorkers is the number of goroutines that send requests, each one request at a time.
	hopWorkers = 8
	// hopServerSlots is the number of requests that the backend server runs concurrently. It is more than hopWorkers, so that no
	// request waits at the server.
	hopServerSlots = 64
	// hopServerConnections is the connection limit of the backend server, far above hopWorkers.
	hopServerConnections = 1000
	// hopToken is the operator token of the entry hosts.
	hopToken = "measure-hop"
)

func hopCommand() *cli.Command {
	return &cli.Command{
		Name:  "hop",
		Usage: "measure the cost of requests through entry hosts against direct calls, over loopback in this process",
		Description: "Runs three entry hosts and the stand-ins in this process, and calls one backend server directly, through the\n" +
			"holder of its lease, and through another entry host. Processor time and allocations are those of the whole process.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to measure each path", Value: 4 * time.Second, Sources: cli.EnvVars("REDWINGSILL_DURATION")},
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

// measureHops runs a small deployment in this process and measures each path through it, the direct one first.
func measureHops(ctx context.Context, duration time.Duration) ([]hopResult, error) {
	tasks, wait := task.New(ctx)
	defer wait()
	d, err := startHopDeployment(tasks)
	if err != nil {
		return nil, err
	}
	leaseHolderURL, err := d.awaitLeaseHolder()
	if err != nil {
		return nil, err
	}
	otherURL := d.callerURLs[0]
	if otherURL == leaseHolderURL {
		otherURL = d.callerURLs[1]
	}
	// The output keeps an older term, steward, for the lease holder.
	paths := []struct{ name, url string }{
		{"direct", "http://" + d.serverAddress + "/"},
		{"through the steward", leaseHolderURL + "/v1/services/inventario/keys/k"},
		{"through another entry host", otherURL + "/v1/services/inventario/keys/k"},
	}
	var results []hopResult
	for _, p := range paths {
		r, err := measurePath(p.name, p.url, duration)
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

// measurePath calls a URL from hopWorkers goroutines for the duration. A goroutine stops at its first error. The returned error
// is one of these errors, or nil if there was none.
func measurePath(name, url string, duration time.Duration) (hopResult, error) {
	client := &http.Client{Transport: responseconn.Transport(&http.Transport{MaxIdleConnsPerHost: hopWorkers})}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := cpuTime()
	start := time.Now()
	tasks, wait := task.New(context.Background())
	workerErrors := make(chan error, hopWorkers)
	for range hopWorkers {
		tasks.Go(func(context.Context) {
			var workerLatencies []time.Duration
			var err error
			for err == nil && time.Since(start) < duration {
				sentAt := time.Now()
				err = get(client, url)
				workerLatencies = append(workerLatencies, time.Since(sentAt))
			}
			mu.Lock()
			latencies = append(latencies, workerLatencies...)
			mu.Unlock()
			workerErrors <- err
		})
	}
	var failed error
	for range hopWorkers {
		if err := <-workerErrors; err != nil {
			failed = err
		}
	}
	wait()
	elapsed, cpuUsed := time.Since(start), cpuTime()-cpuBefore
	runtime.ReadMemStats(&after)
	slices.Sort(latencies)
	n := float64(len(latencies))
	return hopResult{Path: name, Requests: len(latencies), RequestsPerSecond: n / elapsed.Seconds(), RequestsForEachCore: n / cpuUsed.Seconds(),
		P50Micros: quantileMicros(latencies, 0.5), P99Micros: quantileMicros(latencies, 0.99),
		AllocationsPerRequest: float64(after.Mallocs-before.Mallocs) / n, AllocatedBytesPerRequest: float64(after.TotalAlloc-before.TotalAlloc) / n}, failed
}

// get calls a URL and reads the whole response. A status other than 200 is an error.
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

// quantileMicros returns the q quantile of sorted latencies in microseconds.
func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]) / float64(time.Microsecond)
}

// cpuTime returns the user and system processor time of this process, or 0 if it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
