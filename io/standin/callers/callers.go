// Package callers is a stand-in for callers: it sends a mixed load through the entry hosts and judges the answers by
// what the backend servers' stand-ins recorded.
package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"redwingsill/io/caller"
	"redwingsill/io/task"
)

const (
	keys        = 2000
	zipfS       = 1.1
	repeatShare = 0.05
	connections = 200
)

var names = regexp.MustCompile(`[a-z]+-\d+|[a-z]+/\d+(#[0-9a-f]+)?|\d+\.\d+\.\d+\.\d+(:\d+)?`)

// Callers sends load. It is used once.
type Callers struct {
	entries []string
	streams []stream
	tallies []*tally
	http    *http.Client

	mu     sync.Mutex
	random *rand.Rand
	zipf   *rand.Zipf
	told   map[string]string // request id -> the strongest outcome told
	mixed  int
	// reasons counts the reasons given for outcomes other than Answered.
	reasons map[string]int
}

// New returns callers of the entry hosts at base URLs. The streams are texts such as "inventario:stock:200:keyed".
func New(entries, streams []string, seed uint64) (*Callers, func(), error) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: 0}
	c := &Callers{entries: entries, random: random, zipf: rand.NewZipf(random, zipfS, 1, keys-1), told: map[string]string{},
		reasons: map[string]int{},
		http:    &http.Client{Transport: transport}}
	for _, text := range streams {
		s, err := parseStream(text)
		if err != nil {
			return nil, nil, err
		}
		c.streams = append(c.streams, s)
		c.tallies = append(c.tallies, newTally())
	}
	return c, transport.CloseIdleConnections, nil
}

// Run sends the load for a time and waits for the last answers.
func (c *Callers) Run(ctx context.Context, d time.Duration) {
	tasks, wait := task.New(ctx)
	ends := make(chan struct{}, len(c.streams))
	for i := range c.streams {
		tasks.Go(func(ctx context.Context) {
			c.feed(ctx, tasks, i, d)
			ends <- struct{}{}
		})
	}
	for range c.streams {
		<-ends
	}
	time.Sleep(2 * time.Second)
	wait()
}

// feed starts the requests of one stream at their times.
func (c *Callers) feed(ctx context.Context, tasks *task.Group, i int, d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	for next.Before(end) {
		c.mu.Lock()
		gap := c.random.ExpFloat64() / c.streams[i].rate
		c.mu.Unlock()
		next = next.Add(time.Duration(gap * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		tasks.Go(func(ctx context.Context) { c.one(ctx, i) })
	}
}

// one sends a request, and at times the same again through another entry host.
func (c *Callers) one(ctx context.Context, i int) {
	s := c.streams[i]
	c.mu.Lock()
	key := ""
	if s.isKeyed {
		key = fmt.Sprintf("key-%d", c.zipf.Uint64())
	}
	entry := c.random.IntN(len(c.entries))
	repeats := s.once && c.random.Float64() < repeatShare
	c.mu.Unlock()
	id := ""
	if s.once {
		id = uuid.Must(uuid.NewV7()).String()
	}
	c.send(ctx, i, c.entries[entry], key, id)
	if repeats {
		c.send(ctx, i, c.entries[(entry+1)%len(c.entries)], key, id)
	}
}

func (c *Callers) send(ctx context.Context, i int, entry, key, id string) {
	s := c.streams[i]
	url := entry + "/v1/services/" + s.service
	if s.isKeyed {
		url += "/keys/" + key
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"Quantity":1}`))
	if err != nil {
		return
	}
	r.GetBody = nil
	r.Header.Set(caller.HeaderRank, s.rank)
	if s.deadline != "" {
		r.Header.Set(caller.HeaderDeadline, s.deadline)
	}
	if id != "" {
		r.Header.Set(caller.HeaderRequestID, id)
	}
	began := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			c.tallies[i].add("Broken", 0)
			c.note(id, "Unknown")
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(caller.HeaderOutcome)
	if err != nil {
		outcome = "Unknown"
	}
	c.tallies[i].add(outcome, time.Since(began))
	c.note(id, outcome)
	if outcome == "Answered" {
		c.check(body, key, id)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[outcome+": "+general(response.Header.Get(caller.HeaderReason))]++
}

// general returns a reason without names and numbers, so that reasons can be counted.
func general(reason string) string {
	return names.ReplaceAllString(reason, "…")
}

// check compares an answer with the request.
func (c *Callers) check(body []byte, key, id string) {
	var answer struct{ Key, RequestID string }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Key != key || answer.RequestID != id {
		c.mu.Lock()
		c.mixed++
		c.mu.Unlock()
	}
}

// note keeps the strongest outcome told for an id: one that may have run outweighs NotRun.
func (c *Callers) note(id, outcome string) {
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told[id] == "" || c.told[id] == "NotRun" {
		c.told[id] = outcome
	}
}
