package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"redwingsill/io/tcp"
)

// receiveBuffer is the size in bytes of the receive buffer of a server's connections. Links have small windows on the platform.
const receiveBuffer = 64 << 10

// server is a backend server without keys: it reads a request's head, tells what it does with the rest by a function, and answers.
type server struct {
	id, address, service string
	record               *record
	born                 int64
	// readBody reads the body of a request. It may be slow.
	readBody func(attempt string, body io.Reader) error
	work     time.Duration
	// statusOf returns the status line's end for the answer to a run, which are counted from 1. It is 200 by default.
	statusOf func(run int) string
	// sealFieldOf returns the name of the field with the seal in the answer to a run. It is sealField by default.
	sealFieldOf func(run int) string
	runs        atomic.Int64
}

// newServer starts a server and writes its entry into the store, again and again.
func (d *deployment) newServer(s *server) error {
	config := net.ListenConfig{Control: tcp.ReceiveBuffer(receiveBuffer)}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.record, s.born = l.Addr().String(), d.record, time.Now().UnixMilli()
	if s.statusOf == nil {
		s.statusOf = func(int) string { return "200 OK" }
	}
	if s.sealFieldOf == nil {
		s.sealFieldOf = func(int) string { return sealField }
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for n := 1; ; n++ {
			d.store.Put("servers/"+s.id, map[string]any{"service": s.service, "address": s.address, "zone": "ilo", "config_version": "v1", "slots": 4, "state": "ready",
				"warmup_left": "0ms", "sequence": n, "born": s.born})
			time.Sleep(870 * time.Millisecond)
		}
	}()
	return nil
}

// serve serves one connection.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := r.Header.Get("X-Redwingsill-Attempt-Id")
		if expected := r.Header.Get("X-Redwingsill-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Redwingsill-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		s.record.began(attempt)
		s.record.add("server %s begins to work on %s %s %s (length %d)", s.id, attempt, r.Method, r.RequestURI, r.ContentLength)
		if err := s.readBody(attempt, r.Body); err != nil {
			s.record.add("server %s: the body of %s broke off: %v", s.id, attempt, err)
			return
		}
		time.Sleep(s.work)
		body := strings.Join([]string{r.Method, r.RequestURI, attempt}, " ")
		run := int(s.runs.Add(1))
		status, seal := s.statusOf(run), s.sealFieldOf(run)
		_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Redwingsill-Attempt-Id: %s\r\nX-Redwingsill-Instance-Id: %s\r\n%s: seal-%s\r\nX-Redwingsill-Server-Load: 1,0,4\r\nContent-Length: %d\r\n\r\n%s",
			status, attempt, s.id, seal, s.id, len(body), body)
		s.record.add("server %s has run %s and answers %q, %s (%v)", s.id, attempt, status, seal, err)
		if err != nil {
			return
		}
	}
}

// readAtOnce reads a body as fast as it comes.
func readAtOnce(_ string, body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}
