package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// uploads of uploadBytes are sent at the same time. Those of kuusela-intake-grown have up to 360,000 bytes.
	uploads     = 4
	uploadBytes = 300_000
	// readPause is how long a server that reads slowly waits after the head of a request, and uploadWork how long it works after
	// the body.
	readPause  = 2 * time.Second
	uploadWork = 370 * time.Millisecond
	// uploadDeadline is the client's deadline and the route's timeout, and grace the time from SIGTERM to SIGKILL.
	uploadDeadline = 8 * time.Second
	grace          = 6 * time.Second
)

// slowReader sends uploads to servers that read slowly, and then SIGTERM to the machine that took them.
func slowReader(d *deployment, hasTrouble bool) (bool, error) {
	d.configure(1, nil, route{"dumps", "upload", "dumpyard", "8000ms"})
	readBody, work := readAtOnce, uploadWork+readPause
	if hasTrouble {
		readBody, work = readSlowly, uploadWork
	}
	for i := range uploads {
		if err := d.newServer(&server{id: fmt.Sprint("dumpyard-", i+1), service: "dumpyard", readBody: readBody, work: work}); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"fi-south-a", "fi-south-b", "fi-south-c"} {
		if _, err := d.newMachine(fmt.Sprint("edge-", i+1), zone, d.storeAddress); err != nil {
			return false, err
		}
	}
	if !d.awaitReady() {
		return false, errors.New("the machines are not ready")
	}
	time.Sleep(3500 * time.Millisecond) // the machines have been in touch for stable_window
	m := d.machines[len(d.machines)-1]
	outcomes := make(chan uploadOutcome, uploads)
	for i := range uploads {
		go func() { outcomes <- upload(d.record, m.front, fmt.Sprint("dump-", i+1)) }()
	}
	time.Sleep(300 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	stopped := time.Now()
	isBroken := false
	for range uploads {
		o := <-outcomes
		// Not counted: the deadline was reached, or the server was still at work in the last sixth of the grace.
		isExcused := o.at.Sub(o.sent) >= uploadDeadline || o.at.Sub(stopped) >= grace*5/6
		if !o.isServers && d.record.hasBegun(o.attempt) && !isExcused {
			d.record.add("LOST: %s was broken off %v after SIGTERM, while its server was at work", o.attempt, o.at.Sub(stopped).Round(time.Millisecond))
			isBroken = true
		}
	}
	return isBroken, nil
}

// readSlowly reads a body after a pause.
func readSlowly(_ string, body io.Reader) error {
	time.Sleep(readPause)
	return readAtOnce("", body)
}

// uploadOutcome is how an upload ended.
type uploadOutcome struct {
	attempt  string
	sent, at time.Time
	// isServers is set if the client got the whole answer of a server.
	isServers bool
}

// upload sends an upload and waits for its answer.
func upload(r *record, front, attempt string) uploadOutcome {
	o := uploadOutcome{attempt: attempt, sent: time.Now()}
	defer func() { o.at = time.Now() }()
	c, err := net.Dial("tcp4", front)
	if err != nil {
		r.add("client can't connect to %s: %v", front, err)
		return o
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline)) // fails only if the connection is closed
	_, err = fmt.Fprintf(c, "POST /dumps/%s HTTP/1.1\r\nHost: a.example\r\nX-Redwingsill-Attempt-Id: %s\r\nX-Redwingsill-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		attempt, attempt, uploadDeadline.Milliseconds(), uploadBytes, make([]byte, uploadBytes))
	r.add("client sent %s, %d bytes, to %s (%v)", attempt, uploadBytes, front, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.add("client gets no answer to %s: %v", attempt, err)
		return o
	}
	text, err := io.ReadAll(response.Body)
	seal := response.Header.Get("X-Redwingsill-Server-Seal")
	r.add("client gets %d to %s, seal %q, body %.60q (%v)", response.StatusCode, attempt, seal, text, err)
	o.isServers = err == nil && seal != ""
	return o
}
