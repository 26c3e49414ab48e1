// Package loadgenerator sends requests to entry hosts in place of real callers, and verifies the outcomes against the
// runs that the stand-ins of backend servers recorded.
package loadgenerator

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
	"redwingsill/io/responseconn"
	"redwingsill/io/task"
)

const (
	// Keys are drawn from keyCount keys by a Zipf distribution with exponent zipfExponent.
	keyCount     = 2000
	zipfExponent = 1.1
	// repeatRatio is the fraction of the requests with an ID that are sent again with the same ID.
	repeatRatio = 0.05
	// maxIdleConnections is the number of idle connections that are kept to each entry host.
	maxIdleConnections = 200
	// responseGracePeriod is how long Run waits for the last responses before it cancels their requests.
	responseGracePeriod = 2 * time.Second
)

// variablePart matches the names of hosts and servers, the units and the addresses in a reason.
var variablePart = regexp.MustCompile(`[a-z]+-\d+|[a-z]+/\d+(#[0-9a-f]+)?|\d+\.\d+\.\d+\.\d+(:\d+)?`)

// Generator sends the requests of several streams. It can be used for one load test only.
type Generator struct {
	// entries are the base URLs of the entry hosts.
	entries []string
	streams []stream
	// tallies[i] counts the outcomes of streams[i].
	tallies []*tally
	http    *http.Client

	mu         sync.Mutex
	random     *rand.Rand
	zipf       *rand.Zipf
	outcomes   map[string]string // by request ID, see recordOutcome
	mismatched int               // number of responses that do not match their request
	// reasons counts the outcomes other than Answered by outcome and normalized reason.
	reasons map[string]int
}

// New returns a generator for the entry hosts at the base URLs, and a function that closes its idle connections. The
// streams have the form "inventario:stock:200:keyed", see parseStream.
func New(entries, streams []string, seed uint64) (*Generator, func(), error) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxConnsPerHost: 0}
	g := &Generator{entries: entries, random: random, zipf: rand.NewZipf(random, zipfExponent, 1, keyCount-1), outcomes: map[string]string{},
		reasons: map[string]int{},
		http:    &http.Client{Transport: responseconn.Transport(transport)}}
	for _, text := range streams {
		s, err := parseStream(text)
		if err != nil {
			return nil, nil, err
		}
		g.streams = append(g.streams, s)
		g.tallies = append(g.tallies, newTally())
	}
	return g, transport.CloseIdleConnections, nil
}

// Run sends requests for the duration d, then waits responseGracePeriod for the last responses and cancels the requests
// that still have none.
func (g *Generator) Run(ctx context.Context, d time.Duration) {
	tasks, cancelAndWait := task.New(ctx)
	ends := make(chan struct{}, len(g.streams))
	for i := range g.streams {
		tasks.Go(func(ctx context.Context) {
			g.runStream(ctx, tasks, i, d)
			ends <- struct{}{}
		})
	}
	for range g.streams {
		<-ends
	}
	time.Sleep(responseGracePeriod)
	cancelAndWait()
}

// runStream starts the requests of stream i for the duration d, as a Poisson process.
func (g *Generator) runStream(ctx context.Context, tasks *task.Group, i int, d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	for next.Before(end) {
		g.mu.Lock()
		gap := g.random.ExpFloat64() / g.streams[i].rate
		g.mu.Unlock()
		next = next.Add(time.Duration(gap * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		tasks.Go(func(ctx context.Context) { g.runRequest(ctx, i) })
	}
}

// runRequest sends one request of stream i. A fraction repeatRatio of the requests with an ID is sent again after the
// response, to the next entry host.
func (g *Generator) runRequest(ctx context.Context, i int) {
	s := g.streams[i]
	g.mu.Lock()
	key := ""
	if s.isKeyed {
		key = fmt.Sprintf("key-%d", g.zipf.Uint64())
	}
	entry := g.random.IntN(len(g.entries))
	isRepeated := s.hasRequestIDs && g.random.Float64() < repeatRatio
	g.mu.Unlock()
	id := ""
	if s.hasRequestIDs {
		id = uuid.Must(uuid.NewV7()).String()
	}
	g.send(ctx, i, g.entries[entry], key, id)
	if isRepeated {
		g.send(ctx, i, g.entries[(entry+1)%len(g.entries)], key, id)
	}
}

// send sends one request of stream i to an entry host and records the outcome. If id is empty, the request has no ID. A
// request that is cancelled before a response arrives is not counted.
func (g *Generator) send(ctx context.Context, i int, entry, key, id string) {
	s := g.streams[i]
	url := entry + "/v1/services/" + s.service
	if s.isKeyed {
		url += "/keys/" + key
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"Quantity":1}`))
	if err != nil {
		return
	}
	r.GetBody = nil // so that net/http does not resend the request
	r.Header.Set(caller.HeaderRank, s.rank)
	if s.deadline != "" {
		r.Header.Set(caller.HeaderDeadline, s.deadline)
	}
	if id != "" {
		r.Header.Set(caller.HeaderRequestID, id)
	}
	began := time.Now()
	response, err := g.http.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			g.tallies[i].add("Broken", 0)
			g.recordOutcome(id, "Unknown")
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(caller.HeaderOutcome)
	if err != nil {
		outcome = "Unknown"
	}
	g.tallies[i].add(outcome, time.Since(began))
	g.recordOutcome(id, outcome)
	if outcome == "Answered" {
		g.checkResponse(body, key, id)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reasons[outcome+": "+normalizeReason(response.Header.Get(caller.HeaderReason))]++
}

// normalizeReason replaces each match of variablePart, so that reasons that differ only in names are counted together.
func normalizeReason(reason string) string {
	return variablePart.ReplaceAllString(reason, "…")
}

// checkResponse counts a response body that does not match the request.
func (g *Generator) checkResponse(body []byte, key, id string) {
	var answer struct{ Key, RequestID string }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Key != key || answer.RequestID != id {
		g.mu.Lock()
		g.mismatched++
		g.mu.Unlock()
	}
}

// recordOutcome records the outcome reported for a request ID. Of several outcomes it keeps the first one other than
// NotRun, and NotRun only if there is no other.
func (g *Generator) recordOutcome(id, outcome string) {
	if id == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outcomes[id] == "" || g.outcomes[id] == "NotRun" {
		g.outcomes[id] = outcome
	}
}
