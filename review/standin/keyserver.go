package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slotCount   = 2
	maxQueue    = 8
	meanWork    = 70 * time.Millisecond
	heartbeat   = 870 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// order is the body of a grant or a release.
type order struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// keyServer is a backend server of a service that is divided by key.
type keyServer struct {
	id       string
	service  string
	zone     string
	born     int64
	listener net.Listener
	holders  *keyHolders
	record   *record
	// fault decides what goes wrong with an order, or is nil.
	fault *orderFault
	slots chan struct{}
	queue atomic.Int32
	// answers counts the answers, refusals included.
	answers atomic.Int64

	mu       sync.Mutex
	holdings []holding
	// highest has, by key, the highest token seen.
	highest [keyCount]int64
	// running counts the running requests by key.
	running map[int]int
	ended   *sync.Cond
}

func newKeyServer(id, service, zone string, holders *keyHolders, r *record, fault *orderFault) (*keyServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &keyServer{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), listener: listener, holders: holders, record: r, fault: fault,
		slots: make(chan struct{}, slotCount), running: map[int]int{}}
	s.ended = sync.NewCond(&s.mu)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // closed at the end of the case
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// entry is the server's entry in the store.
func (s *keyServer) entry(sequence int) map[string]any {
	return map[string]any{"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "config_version": "v1", "slots": slotCount,
		"state": "ready", "warmup_left": "0ms", "sequence": sequence, "born": s.born}
}

// serve serves one connection, one request at a time.
func (s *keyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var lastOrderAnswer []byte // the answer to the request before this one, if that was a grant which took effect
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		arrived := time.Now()
		var answer []byte
		switch {
		case r.URL.Path == "/-/grant" && s.fault != nil && lastOrderAnswer != nil && s.fault.strikes(s, body):
			// The extra copy of the answer before comes where the next answer is expected. The grant itself gets no answer, as the
			// connection ends, and is carried out late.
			_, _ = c.Write(lastOrderAnswer)
			s.applyLate(body, arrived)
			return
		case r.URL.Path == "/-/grant":
			status := s.grant(body, arrived)
			answer = encodeAnswer(status, nil, "")
			lastOrderAnswer = nil
			if status == http.StatusOK {
				lastOrderAnswer = answer
			}
		case r.URL.Path == "/-/release":
			answer, lastOrderAnswer = s.release(body), nil
		default:
			answer, lastOrderAnswer = s.request(r), nil
		}
		s.answers.Add(1)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// encodeAnswer returns an answer with a length.
func encodeAnswer(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), len(body), int(idleTimeout.Seconds()))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// applyLate carries out a grant after the time that the fault says. Its hold time counts from its arrival.
func (s *keyServer) applyLate(body []byte, arrived time.Time) {
	time.AfterFunc(s.fault.lateness, func() {
		var o order
		_ = json.Unmarshal(body, &o) // it is logged as it is
		status := s.grant(body, arrived)
		s.record.writef("server %s carries out late the grant of %d-%d with token %d: %d", s.id, o.From, o.Target, o.Fence, status)
	})
}

// grant carries out a grant that arrived at a time, and returns the status of the answer.
func (s *keyServer) grant(body []byte, arrived time.Time) int {
	var o order
	hold := time.Duration(0)
	err := json.Unmarshal(body, &o)
	if err == nil {
		hold, err = time.ParseDuration(o.HoldTime)
	}
	if err != nil || o.From < 0 || o.From > o.Target || o.Target >= keyCount {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if s.highest[key] > o.Fence {
			return http.StatusConflict
		}
	}
	isNew := false
	for key := o.From; key <= o.Target; key++ {
		isNew = isNew || s.highest[key] < o.Fence
		s.highest[key] = o.Fence
	}
	until := arrived.Add(hold)
	if !time.Now().Before(until) {
		return http.StatusOK // its time is over
	}
	s.drop(o.From, o.Target)
	s.holdings = append(s.holdings, holding{from: o.From, to: o.Target, fence: o.Fence, until: until})
	if problem := s.holders.take(s.id, o.From, o.Target, o.Fence); problem != "" {
		s.record.writef("BROKEN: %s; it holds %d-%d for %v more", problem, o.From, o.Target, time.Until(until).Round(time.Millisecond))
	} else if isNew {
		s.record.writef("server %s takes %d-%d with token %d for %v", s.id, o.From, o.Target, o.Fence, hold)
	}
	return http.StatusOK
}

// drop removes a range from the holdings; the caller holds the lock.
func (s *keyServer) drop(from, to int) {
	var kept []holding
	for _, h := range s.holdings {
		kept = append(kept, h.without(from, to)...)
	}
	s.holdings = kept
}

// release stops new work on a range, and answers when the work on it has ended.
func (s *keyServer) release(body []byte) []byte {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.From < 0 || o.From > o.Target || o.Target >= keyCount {
		return encodeAnswer(http.StatusBadRequest, nil, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(o.From, o.Target)
	for s.isWorking(o.From, o.Target) {
		s.ended.Wait()
	}
	s.record.writef("server %s has released %d-%d", s.id, o.From, o.Target)
	return encodeAnswer(http.StatusOK, map[string]string{"X-Redwingsill-Handover": fmt.Sprintf("%s-%d", s.id, o.From)}, "")
}

func (s *keyServer) isWorking(from, to int) bool {
	for key := range s.running {
		if key >= from && key <= to {
			return true
		}
	}
	return false
}

// begin starts work on a key if the server holds it.
func (s *keyServer) begin(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if key >= h.from && key <= h.to && time.Now().Before(h.until) {
			s.running[key]++
			return true
		}
	}
	return false
}

func (s *keyServer) end(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key]--; s.running[key] == 0 {
		delete(s.running, key)
	}
	s.ended.Broadcast()
}

// request runs a caller's request, or says that it was not run.
func (s *keyServer) request(r *http.Request) []byte {
	header := map[string]string{"X-Redwingsill-Attempt-Id": r.Header.Get("X-Redwingsill-Attempt-Id")}
	refuse := func(status int) []byte {
		header["X-Redwingsill-Not-Executed"] = "1"
		return encodeAnswer(status, header, "")
	}
	key, err := strconv.Atoi(r.Header.Get("X-Redwingsill-Shard-Key"))
	if err != nil || key < 0 || key >= keyCount || header["X-Redwingsill-Attempt-Id"] == "" {
		return refuse(http.StatusBadRequest)
	}
	if expected := r.Header.Get("X-Redwingsill-Expect-Instance"); expected != "" && expected != s.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	if s.queue.Add(1) > maxQueue+slotCount {
		s.queue.Add(-1)
		return refuse(http.StatusServiceUnavailable)
	}
	defer s.queue.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if !s.begin(key) {
		return refuse(http.StatusMisdirectedRequest)
	}
	defer s.end(key)
	s.record.writef("%s run by server %s", header["X-Redwingsill-Attempt-Id"], s.id)
	time.Sleep(time.Duration((0.3 + 1.4*rand.Float64()) * float64(meanWork)))
	header["X-Redwingsill-Server-Seal"] = "seal-" + s.id
	header["X-Redwingsill-Server-Load"] = fmt.Sprintf("%d,%d,%d", len(s.slots), max(0, int(s.queue.Load())-len(s.slots)), slotCount)
	return encodeAnswer(http.StatusOK, header, r.Method+" "+r.RequestURI+" "+header["X-Redwingsill-Attempt-Id"])
}
