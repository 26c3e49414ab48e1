package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"redwingsill/platform/standin"
)

// playHiddenGrant plays a deployment whose backend servers at times send the answer to a grant twice and carry out the grant after it
// late and without an answer. A key must be taken only with a token above all with which other servers had it.
func playHiddenGrant(r *record, hasTrouble bool) (bool, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		r.writef("logs are in %s", directory)
	}
	store := standin.New()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	storeServer := &http.Server{Handler: store.Handler()}
	go func() { _ = storeServer.Serve(listener) }() // until it is closed
	defer func() { _ = storeServer.Close() }()
	putConfiguration(store)

	var fault *orderFault
	if hasTrouble {
		fault = &orderFault{lateness: 2200 * time.Millisecond, extraShare: 0.02, lateShare: 0.3, random: rand.New(rand.NewPCG(1, 2))}
	}
	holders := newKeyHolders()
	var servers []*keyServer
	for n := range 6 {
		s, err := newKeyServer(fmt.Sprintf("i-%d", n+1), "stock", "ilo", holders, r, fault)
		if err != nil {
			return false, err
		}
		defer func() { _ = s.listener.Close() }()
		servers = append(servers, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			for _, s := range servers {
				store.Put("servers/"+s.id, s.entry(sequence))
			}
			time.Sleep(heartbeat)
		}
	}()
	var hosts []*entryHost
	for n := range 3 {
		h, err := startEntryHost(directory, fmt.Sprintf("edge-%d", n+1), "ilo", listener.Addr().String())
		if err != nil {
			return false, err
		}
		defer h.kill()
		hosts = append(hosts, h)
	}
	if err := awaitReady(hosts, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the keys get their first owners

	c := &callers{record: r}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, h := range hosts {
		c.start(traffic, h, 12, 300*time.Millisecond)
	}
	for began := time.Now(); time.Since(began) < 80*time.Second && len(holders.problems()) == 0; {
		c.busyFrom.Store(int64(rand.IntN(keyCount - busyCount)))
		if hasTrouble {
			rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
			fault.begin(servers[:len(servers)/2], 5*time.Second)
		}
		for step := time.Now(); time.Since(step) < 5500*time.Millisecond && len(holders.problems()) == 0; {
			time.Sleep(50 * time.Millisecond)
		}
	}
	stopTraffic()
	c.wait.Wait()
	c.summary()
	if c.sent.Load() == 0 {
		return false, fmt.Errorf("no request was sent")
	}
	if fault != nil {
		r.writef("%d grants were left unanswered behind an extra answer", fault.count())
	}
	return len(holders.problems()) == 0, nil
}

// putConfiguration writes the first configuration: one service that is divided by key, and its route.
func putConfiguration(store *standin.Store) {
	store.Put("op/config", map[string]any{
		"config_version": "0000000c",
		"limits":         map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"host": "a.example", "rules": []any{map[string]any{"name": "stock", "route_type": "idempotent", "slo": "600ms",
			"priority": 1, "match": map[string]any{"prefix": "/stock/"},
			"action": map[string]any{"service": "stock", "timeout": "2000ms", "max_attempts": 2}}}}},
		"clusters": []any{map[string]any{"name": "stock", "health_path": "/health", "max_conns": 130, "sharded": true, "warm": "5s"}},
	})
}
