package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// checks are sent one after the other by each of checkClients to checkServers, half of which spoil one in spoilEvery of their
	// answers. The site file has up to 0.6 of the servers break off or spoil up to 0.05 of their answers for up to 5.8 s.
	checks       = 100
	checkClients = 6
	checkServers = 8
	spoilEvery   = 25
	// sealField is the name of the field with the seal, and spoiledSealField the same with one wrong byte.
	sealField, spoiledSealField = "X-Redwingsill-Server-Seal", "X-Redwingsill-Serfer-Seal"
)

// lostSeal sends lookups to servers some of which spoil a byte of some answers.
func lostSeal(d *deployment, hasTrouble bool) (bool, error) {
	d.configure(1, nil, route{"status", "idempotent", "despacho", "2000ms"})
	for i := range checkServers {
		sealFieldOf := func(run int) string {
			if hasTrouble && i%2 == 0 && run%spoilEvery == 0 {
				return spoiledSealField
			}
			return sealField
		}
		if err := d.newServer(&server{id: fmt.Sprint("despacho-", i+1), service: "despacho", readBody: readAtOnce, work: 20 * time.Millisecond, sealFieldOf: sealFieldOf}); err != nil {
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
	broken := make(chan bool, checkClients)
	for n := range checkClients {
		go func() {
			isBroken := false
			for i := range checks {
				isBroken = checkStatus(d.record, d.machines[i%len(d.machines)].front, fmt.Sprintf("status-%d-%d", n+1, i+1)) || isBroken
			}
			broken <- isBroken
		}()
	}
	isBroken := false
	for range checkClients {
		isBroken = <-broken || isBroken
	}
	return isBroken, nil
}

// checkStatus sends a lookup, and reports whether it ends with a success without a seal.
func checkStatus(r *record, front, attempt string) bool {
	c, err := net.Dial("tcp4", front)
	if err != nil {
		r.add("client can't connect to %s: %v", front, err)
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if the connection is closed
	_, err = fmt.Fprintf(c, "GET /status/%s HTTP/1.1\r\nHost: a.example\r\nX-Redwingsill-Attempt-Id: %s\r\nX-Redwingsill-Deadline-Ms: 2000\r\n\r\n", attempt, attempt)
	r.add("client sent %s to %s (%v)", attempt, front, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.add("client gets no answer to %s: %v", attempt, err)
		return false
	}
	text, err := io.ReadAll(response.Body)
	seal := response.Header.Get(sealField)
	r.add("client gets %d to %s, seal %q, body %q (%v)", response.StatusCode, attempt, seal, text, err)
	if response.StatusCode/100 == 2 && seal == "" {
		r.add("MIXED: %s ends with a success without a seal", attempt)
		return true
	}
	return false
}
