package commandline_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	hostCount   = 4
	serverCount = 3
	token       = "a token of the operators"
)

// deployment is one data centre with its entry hosts, backend servers, platform and monitoring group, each a process.
type deployment struct {
	binary    string
	folder    string
	platform  string
	monitor   string
	file      string
	hosts     map[string]*gexec.Session
	callers   map[string]string
	operators map[string]string
	peers     map[string]string
	servers   map[string]*gexec.Session
	addresses map[string]string
	list      []hostentry.HostEntry
}

func newDeployment(binary string) *deployment {
	d := &deployment{binary: binary, folder: GinkgoT().TempDir(), hosts: map[string]*gexec.Session{}, callers: map[string]string{},
		operators: map[string]string{}, peers: map[string]string{}, servers: map[string]*gexec.Session{}, addresses: map[string]string{}}
	d.platform, d.monitor = free(), free()
	for i := range hostCount {
		name := fmt.Sprintf("ilo-%d", i+1)
		d.callers[name], d.operators[name], d.peers[name] = free(), free(), free()
		d.list = append(d.list, hostentry.HostEntry{Name: name, DataCentre: "ilo", Address: d.peers[name]})
	}
	for i := range serverCount {
		d.addresses[fmt.Sprintf("inventario-%d", i+1)] = free()
	}
	d.file = d.write("resources.json", d.resources())
	d.start("standin", "platform", "--address", d.platform, "--hosts", d.write("hosts.json", map[string]any{"Hosts": d.list}))
	d.start("standin", "monitor", "--address", d.monitor)
	for name := range d.addresses {
		d.servers[name] = d.start("standin", "server", "--configuration", d.file, "--name", name, "--cold-for", "0s", "--service-time", "5ms")
	}
	for _, h := range d.list {
		d.startHost(h.Name)
	}
	d.until(5*time.Second, func() bool { return d.status("ilo-1", "/livez") == http.StatusOK })
	out, code := d.run("apply", "--operator", "http://"+d.operators["ilo-1"], "--expected-revision", "0", d.file)
	Expect(code).To(BeZero(), out)
	d.until(10*time.Second, d.allServed)
	return d
}

func (d *deployment) resources() any {
	all := []resource.Resource{}
	var names []string
	for _, h := range d.list {
		names = append(names, h.Name)
	}
	all = append(all, resource.DataCentre{Name: "ilo", EntryHosts: names},
		resource.Service{Name: "inventario", DividedByKey: true, Slots: 16, MaxBodyBytes: 1 << 16, MaxAttempt: seconds(1)},
		resource.Rank{Name: "stock", Target: seconds(1), Worth: 1, QueueLimit: 500, Default: true})
	for name, address := range d.addresses {
		all = append(all, resource.BackendServer{Name: name, Service: "inventario", DataCentre: "ilo", Address: address, Slots: 4, Connections: 100})
	}
	text, err := configuration.FormatResources(all)
	Expect(err).NotTo(HaveOccurred())
	return json.RawMessage(text)
}

func (d *deployment) startHost(name string) {
	d.hosts[name] = d.start("entry", "--name", name, "--data-centre", "ilo", "--caller-address", d.callers[name],
		"--peer-address", d.peers[name], "--operator-address", d.operators[name])
}

// start starts a process that ends with the test.
func (d *deployment) start(args ...string) *gexec.Session {
	session, err := gexec.Start(d.command(args...), io.Discard, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		session.Signal(syscall.SIGCONT)
		session.Kill().Wait(5 * time.Second)
	})
	return session
}

// run runs a command to its end and returns what it printed and its exit status.
func (d *deployment) run(args ...string) (string, int) {
	c := d.command(args...)
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		Fail(err.Error())
	}
	return string(out), c.ProcessState.ExitCode()
}

func (d *deployment) command(args ...string) *exec.Cmd {
	c := exec.Command(d.binary, args...)
	c.Env = append(os.Environ(), "REDWINGSILL_PLATFORM=http://"+d.platform, "REDWINGSILL_MONITOR=http://"+d.monitor,
		"REDWINGSILL_PEER_SECRET=a secret of the entry hosts", "REDWINGSILL_OPERATOR_TOKEN="+token)
	return c
}

func (d *deployment) write(name string, value any) string {
	text, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(d.folder, name)
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}

func (d *deployment) signal(s *gexec.Session, signal os.Signal) { s.Signal(signal) }

// admin sets a stand-in's switches.
func (d *deployment) admin(address, path string, value any) {
	text, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func (d *deployment) status(host, path string) int {
	response, err := http.Get("http://" + d.operators[host] + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// get reads an answer of a host's operator address.
func (d *deployment) get(host, path string, into any) bool {
	response, err := http.Get("http://" + d.operators[host] + path)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

// steward returns the steward of a key and its owner, as a host knows them.
func (d *deployment) steward(host, key string) (steward, owner string) {
	var answer struct{ Steward, Owner string }
	d.get(host, "/v1/explain/keys/inventario/"+key, &answer)
	return answer.Steward, answer.Owner
}

func (d *deployment) arbiter() string {
	var answer struct{ Arbiter string }
	for _, h := range d.list {
		if d.get(h.Name, "/v1/status", &answer) && answer.Arbiter != "" {
			return answer.Arbiter
		}
	}
	return ""
}

// ask sends a request for a key and returns its outcome.
func (d *deployment) ask(host, key, id, deadline string) string {
	outcome, _ := d.askWhy(host, key, id, deadline)
	return outcome
}

// askWhy sends a request for a key and returns its outcome and the reason given.
func (d *deployment) askWhy(host, key, id, deadline string) (outcome, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers[host]+"/v1/services/inventario/keys/"+key, strings.NewReader("{}"))
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

// allServed reports whether keys of every owner are answered at every running host.
func (d *deployment) allServed() bool {
	for i := range 12 {
		if d.ask(d.list[i%hostCount].Name, fmt.Sprintf("key-%d", i), "", "300ms") != "Answered" {
			return false
		}
	}
	return true
}

// runs returns what the backend servers ran, by request id.
func (d *deployment) runs() map[string][]run.Run {
	byID := map[string][]run.Run{}
	for _, address := range d.addresses {
		response, err := http.Get("http://" + address + "/admin/runs")
		Expect(err).NotTo(HaveOccurred())
		var some []run.Run
		Expect(json.NewDecoder(response.Body).Decode(&some)).To(Succeed())
		_ = response.Body.Close()
		for _, r := range some {
			byID[r.RequestID] = append(byID[r.RequestID], r)
		}
	}
	return byID
}

func (d *deployment) until(limit time.Duration, holds func() bool) time.Duration {
	began := time.Now()
	Eventually(holds, limit, 20*time.Millisecond).Should(BeTrue())
	return time.Since(began)
}

func free() string { return loopback.FreeAddress() }
