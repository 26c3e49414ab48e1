package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingsill/io/standin/loopback"
	"redwingsill/platform/standin"
)

// readyTimeout is how long the machines may take to get ready.
const readyTimeout = 30 * time.Second

// program is what the build line of the deploy file produces.
const program = "target/redwingsill-platform"

// deployment is a small deployment on loopback: the stand-in of the platform's store, and machines that run the real program.
type deployment struct {
	record *record
	store  *standin.Store
	// storeAddress is where the store listens.
	storeAddress string
	directory    string
	machines     []*machine
}

// machine is one process of the program.
type machine struct {
	name                    string
	front, readiness, state string
	settings, logPath       string
	record                  *record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// newDeployment starts the store.
func newDeployment(r *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, store: standin.New(), storeAddress: l.Addr().String(), directory: directory}
	go func() { _ = http.Serve(l, d.store.Handler()) }() // ends with this process
	return d, nil
}

// route describes a route of the configuration.
type route struct {
	name, routeType, service, timeout string
}

// prefix returns the prefix of the route's paths.
func (r route) prefix() string { return "/" + strings.ReplaceAll(r.name, "-", "/") + "/" }

// configure writes a configuration with the routes at /NAME/ of the host a.example, as the operator does.
func (d *deployment) configure(version int, sharded map[string]bool, routes ...route) {
	var rules, clusters []any
	seen := map[string]bool{}
	for _, r := range routes {
		rules = append(rules, map[string]any{"name": r.name, "route_type": r.routeType, "slo": "1500ms", "priority": 1, "match": map[string]any{"prefix": r.prefix()},
			"action": map[string]any{"service": r.service, "timeout": r.timeout, "max_attempts": 2}})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, map[string]any{"name": r.service, "health_path": "/health", "max_conns": 130, "sharded": sharded[r.service], "warm": "5s"})
		}
	}
	d.store.Put("op/config", map[string]any{"config_version": fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"host": "a.example", "rules": rules}}, "clusters": clusters})
}

// newMachine writes the settings of a machine and starts it. The store's address may be that of a proxy.
func (d *deployment) newMachine(name, zone, storeAddress string) (*machine, error) {
	m := &machine{name: name, front: loopback.FreeAddress(), readiness: loopback.FreeAddress(), record: d.record,
		settings: filepath.Join(d.directory, name+".json"), logPath: filepath.Join(d.directory, name+".log")}
	first := loopback.FreePortPair()
	m.state = fmt.Sprintf("127.0.0.1:%d", first+1)
	text, err := json.Marshal(map[string]any{
		"self": map[string]any{"node_name": name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": zone, "region": "r",
			"first_start": true, "limits": map[string]any{"memory_mb": 284, "cpu_share": 0.32, "cores": 1, "max_fds": 4100, "link_mbps": 1000}},
		"network":  map[string]any{"listen_addresses": map[string]any{"front": m.front, "readiness": m.readiness}, "port_range": []int{first, first + 1}},
		"platform": map[string]any{"platform": map[string]any{"address": storeAddress, "form": "kv", "ttl_min": "1000ms"}},
		"terms": map[string]any{"bounds": map[string]any{"drain": "2000ms", "grace": "6s", "hold_max": "10000ms", "budget_ratio": 0.2, "budget_window": "10s",
			"budget_extra": 62}},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return nil, err
	}
	d.machines = append(d.machines, m)
	return m, m.start()
}

// start starts the program with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "REDWINGSILL_SETTINGS="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.record.add("machine %s started", m.name)
	go func() {
		err := cmd.Wait()
		m.record.add("machine %s ended: %v", m.name, err)
		_ = log.Close() // nothing is written any more
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.add("machine %s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s) // it may have ended
}

// isReady asks the machine whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the body is not read
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (d *deployment) awaitReady() bool {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(d.machines) {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.mu.Lock()
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println(d.directory)
	}
}
