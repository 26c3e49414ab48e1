package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// The configuration grows by idleRoutes (big_config of abebe-gw-grown), and versions changes come in quick succession
	// (config_storm of sal-andes: each 60 ms for 1.5 s).
	idleRoutes = 1400
	versions   = 25
	versionGap = 60 * time.Millisecond
	// cutTime is how long one machine is cut off from the store; core_cut lasts for up to 5.5 s.
	cutTime = 4 * time.Second
	// A machine is in touch stableWindow after the end of a cut, and has a version in force configApply after its acknowledgement.
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	// checkedFor is how long after the last version requests are judged. The store keeps changes for 20 s.
	checkedFor = 14 * time.Second
)

// oldConfig cuts one of two machines of a zone off from the store while configurations come in quick succession. The last one moves a
// route to another service.
func oldConfig(d *deployment, hasTrouble bool) (bool, error) {
	routes := []route{{"stock", "idempotent", "before", "2500ms"}, {"aside", "idempotent", "after", "2500ms"}}
	for i := range idleRoutes {
		routes = append(routes, route{fmt.Sprintf("xapu%03d-ny%05d", i%100, i), "idempotent", "before", "2500ms"})
	}
	for _, service := range []string{"before", "after"} {
		if err := d.newServer(&server{id: service + "-1", service: service, readBody: readAtOnce, work: 5 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	d.configure(1, nil, routes...)
	toStore, err := newLink(d.storeAddress)
	if err != nil {
		return false, err
	}
	// The first machine reads the store for both.
	for i, address := range []string{toStore.address, d.storeAddress} {
		if _, err := d.newMachine(fmt.Sprint("edge-", i+1), "ilo", address); err != nil {
			return false, err
		}
	}
	if !d.awaitReady() {
		return false, errors.New("the machines are not ready")
	}
	time.Sleep(stableWindow)
	if hasTrouble {
		d.record.add("edge-1 is cut off from the store")
		toStore.setCut(true)
	}
	cutAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	for i := range versions {
		if i == versions-1 {
			routes[0].service = "after"
		}
		d.configure(2+i, nil, routes...)
		d.record.add("the store accepts version %d of %d bytes, in which /stock/ goes to %s", 2+i, len(d.store.Value("op/config")), routes[0].service)
		time.Sleep(versionGap)
	}
	accepted := time.Now()
	time.Sleep(cutTime - time.Since(cutAt))
	if hasTrouble {
		toStore.setCut(false)
		d.record.add("edge-1 reaches the store again")
	}
	healed := time.Now()
	isBroken := false
	for n := 0; time.Since(accepted) < checkedFor; n++ {
		isJudged := time.Since(healed) > stableWindow && time.Since(accepted) > configApply
		for _, m := range d.machines {
			seal := get(d.record, m.front, fmt.Sprintf("stock-%s-%d", m.name, n))
			if isJudged && strings.HasPrefix(seal, "seal-before") {
				d.record.add("CONFIG: %s sent a request to the old service %v after the acknowledgement", m.name, time.Since(accepted).Round(time.Millisecond))
				isBroken = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return isBroken, nil
}

// get sends a request and returns the seal of its answer, or an empty string.
func get(r *record, front, attempt string) string {
	c, err := net.Dial("tcp4", front)
	if err != nil {
		r.add("client can't connect to %s: %v", front, err)
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if the connection is closed
	path, _, _ := strings.Cut(attempt, "-")
	_, err = fmt.Fprintf(c, "GET /%s/ HTTP/1.1\r\nHost: a.example\r\nX-Redwingsill-Attempt-Id: %s\r\nX-Redwingsill-Deadline-Ms: 2500\r\n\r\n", path, attempt)
	r.add("client sent GET /%s/ (%s) to %s (%v)", path, attempt, front, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.add("client gets no answer to %s: %v", attempt, err)
		return ""
	}
	seal := response.Header.Get("X-Redwingsill-Server-Seal")
	r.add("client gets %d to %s, seal %q", response.StatusCode, attempt, seal)
	return seal
}
