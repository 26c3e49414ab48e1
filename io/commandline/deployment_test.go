package commandline_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"redwingsill/core/configuration"
	"redwingsill/core/hostentry"
	"redwingsill/core/resource"
	"redwingsill/io/standin/loopback"
	"redwingsill/io/standin/run"
)

const (
	hostCount     = 4
	serverCount   = 3
	operatorToken = "a token of the operators"
)

// deployment is one data centre with entry hosts, and with stand-ins for backend servers, the platform and the monitoring
// system. Each of them is a process. The maps are keyed by the name of the entry host or backend server.
type deployment struct {
	binary            string
	folder            string
	platformAddress   string
	monitorAddress    string
	resourcesFile     string
	hostProcesses     map[string]*gexec.Session
	callerAddresses   map[string]string
	operatorAddresses map[string]string
	peerAddresses     map[string]string
	serverProcesses   map[string]*gexec.Session
	serverAddresses   map[string]string
	hostEntries       []hostentry.HostEntry
}

// newDeployment starts all processes, applies the configuration and waits until every host serves requests.
func newDeployment(binary string) *deployment {
	d := &deployment{binary: binary, folder: GinkgoT().TempDir(), hostProcesses: map[string]*gexec.Session{}, callerAddresses: map[string]string{},
		operatorAddresses: map[string]string{}, peerAddresses: map[string]string{}, serverProcesses: map[string]*gexec.Session{}, serverAddresses: map[string]string{}}
	d.platformAddress, d.monitorAddress = freeAddress(), freeAddress()
	for i := range hostCount {
		name := fmt.Sprintf("ilo-%d", i+1)
		d.callerAddresses[name], d.operatorAddresses[name], d.peerAddresses[name] = freeAddress(), freeAddress(), freeAddress()
		d.hostEntries = append(d.hostEntries, hostentry.HostEntry{Name: name, DataCentre: "ilo", Address: d.peerAddresses[name]})
	}
	for i := range serverCount {
		d.serverAddresses[fmt.Sprintf("inventario-%d", i+1)] = freeAddress()
	}
	d.resourcesFile = d.writeJSON("resources.json", d.resourcesJSON())
	d.start("standin", "platform", "--address", d.platformAddress, "--hosts", d.writeJSON("hosts.json", map[string]any{"Hosts": d.hostEntries}))
	d.start("standin", "monitor", "--address", d.monitorAddress)
	// The hosts read the configuration from the platform, and the command below tries only once.
	d.until(5*time.Second, func() bool { return accepts(d.platformAddress) && accepts(d.monitorAddress) })
	for name := range d.serverAddresses {
		d.serverProcesses[name] = d.start("standin", "server", "--configuration", d.resourcesFile, "--name", name, "--cold-for", "0s", "--service-time", "5ms")
	}
	for _, h := range d.hostEntries {
		d.startHost(h.Name)
	}
	d.until(5*time.Second, func() bool { return d.statusCode("ilo-1", "/livez") == http.StatusOK })
	out, code := d.runCommand("apply", "--operator", "http://"+d.operatorAddresses["ilo-1"], "--expected-revision", "0", d.resourcesFile)
	Expect(code).To(BeZero(), out)
	d.until(10*time.Second, d.allKeysAnswered)
	return d
}

// accepts reports whether a process listens at an address.
func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// resourcesJSON returns the configuration file: the data centre, one service that is divided by key, its backend servers and
// one rank.
func (d *deployment) resourcesJSON() any {
	resources := []resource.Resource{}
	var names []string
	for _, h := range d.hostEntries {
		names = append(names, h.Name)
	}
	resources = append(resources, resource.DataCentre{Name: "ilo", EntryHosts: names},
		resource.Service{Name: "inventario", DividedByKey: true, Slots: 16, MaxBodyBytes: 1 << 16, MaxAttempt: seconds(1)},
		resource.Rank{Name: "stock", Target: seconds(1), Worth: 1, QueueLimit: 500, Default: true})
	for name, address := range d.serverAddresses {
		resources = append(resources, resource.BackendServer{Name: name, Service: "inventario", DataCentre: "ilo", Address: address, Slots: 4, Connections: 100})
	}
	text, err := configuration.FormatResources(resources)
	Expect(err).NotTo(HaveOccurred())
	return json.RawMessage(text)
}

func (d *deployment) startHost(name string) {
	d.hostProcesses[name] = d.start("entry", "--name", name, "--data-centre", "ilo", "--caller-address", d.callerAddresses[name],
		"--peer-address", d.peerAddresses[name], "--operator-address", d.operatorAddresses[name])
}

// start runs redwingsill with the arguments as a process that is killed at the end of the test.
func (d *deployment) start(args ...string) *gexec.Session {
	session, err := gexec.Start(d.command(args...), io.Discard, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		session.Signal(syscall.SIGCONT)
		session.Kill().Wait(5 * time.Second)
	})
	return session
}

// runCommand runs redwingsill with the arguments and returns its standard output and standard error as one text, and its exit
// status.
func (d *deployment) runCommand(args ...string) (string, int) {
	c := d.command(args...)
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		Fail(err.Error())
	}
	return string(out), c.ProcessState.ExitCode()
}

func (d *deployment) command(args ...string) *exec.Cmd {
	c := exec.Command(d.binary, args...)
	c.Env = append(os.Environ(), "REDWINGSILL_PLATFORM=http://"+d.platformAddress, "REDWINGSILL_MONITOR=http://"+d.monitorAddress,
		"REDWINGSILL_PEER_SECRET=a secret of the entry hosts", "REDWINGSILL_OPERATOR_TOKEN="+operatorToken)
	return c
}

func (d *deployment) writeJSON(name string, value any) string {
	text, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(d.folder, name)
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}

func (d *deployment) signal(s *gexec.Session, signal os.Signal) { s.Signal(signal) }

// postAdmin posts a value as JSON to an /admin path of a stand-in. It sets faults, the list of hosts or verdicts.
func (d *deployment) postAdmin(address, path string, value any) {
	text, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// statusCode returns the HTTP status of a GET request to the operator address of a host, or 0 without a response.
func (d *deployment) statusCode(host, path string) int {
	response, err := http.Get("http://" + d.operatorAddresses[host] + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// getJSON decodes a response from the operator address of a host and reports whether there was a valid one.
func (d *deployment) getJSON(host, path string, value any) bool {
	response, err := http.Get("http://" + d.operatorAddresses[host] + path)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value) == nil
}

// leaseHolder asks a host for the backend server that owns a key and for the entry host that holds the lease on that server.
// Both are empty if the host does not respond.
func (d *deployment) leaseHolder(host, key string) (holder, owner string) {
	var answer struct {
		LeaseHolder string `json:"Steward"`
		Owner       string
	}
	d.getJSON(host, "/v1/explain/keys/inventario/"+key, &answer)
	return answer.LeaseHolder, answer.Owner
}

// leader asks the hosts in order and returns the first leader that one of them reports, or an empty string.
func (d *deployment) leader() string {
	var answer struct {
		Leader string `json:"Arbiter"`
	}
	for _, h := range d.hostEntries {
		if d.getJSON(h.Name, "/v1/status", &answer) && answer.Leader != "" {
			return answer.Leader
		}
	}
	return ""
}

// send sends a request for a key through an entry host and returns its outcome. An empty id sends no request ID. The deadline
// is a duration, such as 1s.
func (d *deployment) send(host, key, id, deadline string) string {
	outcome, _ := d.sendWithReason(host, key, id, deadline)
	return outcome
}

// sendWithReason is like send and also returns the reason of the outcome. Without a response, the outcome is Broken and the
// reason is the error.
func (d *deployment) sendWithReason(host, key, id, deadline string) (outcome, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddresses[host]+"/v1/services/inventario/keys/"+key, strings.NewReader("{}"))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Redwingsill-Deadline", deadline)
	if id != "" {
		r.Header.Set("Redwingsill-Request-Id", id)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "Broken", err.Error()
	}
	_ = response.Body.Close()
	return response.Header.Get("Redwingsill-Outcome"), response.Header.Get("Redwingsill-Reason")
}

// allKeysAnswered reports whether requests for 12 keys, sent through all hosts in turn, are answered.
func (d *deployment) allKeysAnswered() bool {
	for i := range 12 {
		if d.send(d.hostEntries[i%hostCount].Name, fmt.Sprintf("key-%d", i), "", "300ms") != "Answered" {
			return false
		}
	}
	return true
}

// runs returns the runs that the backend servers recorded, by request ID. Runs of requests without an ID are under "".
func (d *deployment) runs() map[string][]run.Run {
	byID := map[string][]run.Run{}
	for _, address := range d.serverAddresses {
		response, err := http.Get("http://" + address + "/admin/runs")
		Expect(err).NotTo(HaveOccurred())
		var serverRuns []run.Run
		Expect(json.NewDecoder(response.Body).Decode(&serverRuns)).To(Succeed())
		_ = response.Body.Close()
		for _, r := range serverRuns {
			byID[r.RequestID] = append(byID[r.RequestID], r)
		}
	}
	return byID
}

// until waits until the condition holds, fails the test after the limit, and returns the time it took.
func (d *deployment) until(limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	Eventually(condition, limit, 20*time.Millisecond).Should(BeTrue())
	return time.Since(start)
}

func freeAddress() string { return loopback.FreeAddress() }
