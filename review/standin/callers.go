package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callers send requests with keys to the entry hosts, over connections that they keep.
type callers struct {
	record *record
	// busyFrom is the first of the busy keys, of which there are busyCount.
	busyFrom atomic.Int64
	sent     atomic.Int64
	statuses sync.Map
	wait     sync.WaitGroup
}

const (
	busyCount = 60
	busyShare = 0.5
)

// start starts count callers of a host. Each sends a request every interval on average, until the context ends.
func (c *callers) start(ctx context.Context, h *entryHost, count int, interval time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}, Timeout: 4500 * time.Millisecond}
	for range count {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
				key := rand.IntN(keyCount)
				if rand.Float64() < busyShare {
					key = int(c.busyFrom.Load()) + rand.IntN(busyCount)
				}
				c.send(client, h, key)
			}
		}()
	}
}

func (c *callers) send(client *http.Client, h *entryHost, key int) {
	id := fmt.Sprintf("a%08d", c.sent.Add(1))
	r, err := http.NewRequest(http.MethodGet, "http://"+h.front+"/stock/"+id, nil)
	if err != nil {
		panic(err)
	}
	r.Host = "a.example"
	r.Header.Set("X-Redwingsill-Attempt-Id", id)
	r.Header.Set("X-Redwingsill-Deadline-Ms", "4000")
	r.Header.Set("X-Redwingsill-Shard-Key", fmt.Sprint(key))
	c.record.writef("%s sent to %s with key %d", id, h.name, key)
	status := "no answer"
	if response, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // the case checks no body
		_ = response.Body.Close()
		status = fmt.Sprint(response.StatusCode)
	}
	c.record.writef("%s answered: %s", id, status)
	count, _ := c.statuses.LoadOrStore(status, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

// summary writes how many requests had which outcome.
func (c *callers) summary() {
	c.record.writef("callers sent %d requests", c.sent.Load())
	c.statuses.Range(func(status, count any) bool {
		c.record.writef("  %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
}
