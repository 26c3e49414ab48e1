package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"redwingsill/io/standin/loopback"
)

// programPath is where the build line of the deploy file puts the program, from the root of the repository.
const programPath = "target/redwingsill-platform"

// entryHost is a process of the program under test.
type entryHost struct {
	name             string
	front, readiness string
	cmd              *exec.Cmd
	log              *os.File
}

// startEntryHost starts a host with settings like those of a small deployment. Its log goes to the directory.
func startEntryHost(directory, name, zone, storeAddress string) (*entryHost, error) {
	front, readiness := loopback.FreeAddress(), loopback.FreeAddress()
	first := loopback.FreePortPair()
	text, err := json.Marshal(map[string]any{
		"self": map[string]any{"node_name": name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": zone,
			"limits": map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100}},
		"network":  map[string]any{"listen_addresses": map[string]any{"front": front, "readiness": readiness}, "port_range": []int{first, first + 1}},
		"platform": map[string]any{"platform": map[string]any{"address": storeAddress, "writes_per_s": 400, "reads_per_s": 2000, "ttl_min": "1000ms"}},
		"terms": map[string]any{"bounds": map[string]any{"drain": "2000ms", "grace": "6s", "hold_max": "10000ms",
			"budget_ratio": 0.2, "budget_window": "10s", "budget_extra": 62}},
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(directory, name+".json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(programPath)
	cmd.Env = append(os.Environ(), "REDWINGSILL_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &entryHost{name: name, front: front, readiness: readiness, cmd: cmd, log: log}, nil
}

// isReady asks the host as the platform does.
func (h *entryHost) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process and waits for that.
func (h *entryHost) kill() {
	_ = h.cmd.Process.Kill() // it may have ended
	_ = h.cmd.Wait()
	_ = h.log.Close()
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*entryHost, patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fmt.Errorf("the entry hosts were not ready within %v", patience)
}
