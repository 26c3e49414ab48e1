package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// orders are sent one after the other to orderServers, one of which fails one in failEvery of those that it runs. The site file has
	// up to 0.14 of the servers fail up to 0.55 of their requests for up to 8.5 s.
	orders       = 160
	orderServers = 8
	failEvery    = 2
	// failure is the status of these answers. Nothing in them states that the request has not run.
	failure = "408 Request Timeout"
)

// promises are the statuses that promise a client that its request has not run.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// brokenPromise sends orders to servers, one of which fails part of those that it runs.
func brokenPromise(d *deployment, hasTrouble bool) (bool, error) {
	d.configure(1, nil, route{"orders", "non_idempotent", "despacho", "1500ms"})
	for i := range orderServers {
		statusOf := func(run int) string {
			if hasTrouble && i == 0 && run%failEvery == 0 {
				return failure
			}
			return "200 OK"
		}
		if err := d.newServer(&server{id: fmt.Sprint("despacho-", i+1), service: "despacho", readBody: readAtOnce, work: 20 * time.Millisecond, statusOf: statusOf}); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"ilo", "mollendo", "camana"} {
		if _, err := d.newMachine(fmt.Sprint("edge-", i+1), zone, d.storeAddress); err != nil {
			return false, err
		}
	}
	if !d.awaitReady() {
		return false, errors.New("the machines are not ready")
	}
	time.Sleep(time.Second)
	isBroken := false
	for i := range orders {
		attempt := fmt.Sprint("order-", i+1)
		status := order(d.record, d.machines[i%len(d.machines)].front, attempt)
		if promises[status] && d.record.hasBegun(attempt) {
			d.record.add("REFUSED: %s has run, and the client is told by status %d that it has not and never will", attempt, status)
			isBroken = true
		}
	}
	return isBroken, nil
}

// order sends an order and returns the status of its answer, or 0.
func order(r *record, front, attempt string) int {
	c, err := net.Dial("tcp4", front)
	if err != nil {
		r.add("client can't connect to %s: %v", front, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if the connection is closed
	_, err = fmt.Fprintf(c, "PUT /orders/%s HTTP/1.1\r\nHost: a.example\r\nX-Redwingsill-Attempt-Id: %s\r\nX-Redwingsill-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n5 lot", attempt, attempt)
	r.add("client sent %s to %s (%v)", attempt, front, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.add("client gets no answer to %s: %v", attempt, err)
		return 0
	}
	r.add("client gets %d to %s, seal %q", response.StatusCode, attempt, response.Header.Get("X-Redwingsill-Server-Seal"))
	return response.StatusCode
}
