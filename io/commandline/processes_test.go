package commandline_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"redwingsill/core/duration"
	"redwingsill/core/hostentry"
)

var binary string

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Processes")
}

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("redwingsill/cmd/redwingsill")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

func seconds(n int) duration.Duration { return duration.Of(time.Duration(n) * time.Second) }

func newID() string { return uuid.Must(uuid.NewV7()).String() }

var _ = Describe("processes", func() {
	It("serve the keys of a killed lease holder again within 5 s and run nothing twice", func() {
		d := newDeployment(binary)
		holder, _ := d.leaseHolder("ilo-1", "k")
		other := otherThan(holder)
		id := newID()
		Expect(d.send(other, "k", id, "1s")).To(Equal("Answered"))
		d.signal(d.hostProcesses[holder], syscall.SIGKILL)
		took := d.until(5*time.Second, func() bool { return d.send(other, "k", "", "100ms") == "Answered" })
		GinkgoWriter.Println("served again after", took)
		// The killed lease holder's dedup entry is lost, so the new one can't tell whether the request has run.
		Expect(d.send(other, "k", id, "1s")).To(Equal("Unknown"))
		Expect(d.runs()[id]).To(HaveLen(1))
	})

	It("serve all keys again within 6 s of the leader's pause, and after it resumes", func() {
		d := newDeployment(binary)
		leader := d.leader()
		d.signal(d.hostProcesses[leader], syscall.SIGSTOP)
		other := otherThan(leader)
		took := d.until(6*time.Second, func() bool {
			for i := range 12 {
				if d.send(other, fmt.Sprintf("key-%d", i), "", "100ms") != "Answered" {
					return false
				}
			}
			return true
		})
		GinkgoWriter.Println("served again after", took)
		d.signal(d.hostProcesses[leader], syscall.SIGCONT)
		d.until(10*time.Second, d.allKeysAnswered)
		for id, runs := range d.runs() {
			Expect(id == "" || len(runs) == 1).To(BeTrue(), "request %s ran %d times", id, len(runs))
		}
	})

	It("answer every request while a lease holder shuts down after SIGTERM", func() {
		d := newDeployment(binary)
		holder, _ := d.leaseHolder("ilo-1", "k")
		other := otherThan(holder)
		outcomes := map[string]int{}
		var mu sync.Mutex
		var wait sync.WaitGroup
		end := time.Now().Add(4 * time.Second)
		for worker := range 4 {
			wait.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					outcome, reason := d.sendWithReason(other, fmt.Sprintf("key-%d", (worker*7+i)%40), newID(), "2s")
					mu.Lock()
					outcomes[outcome+reason]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Second)
		d.signal(d.hostProcesses[holder], syscall.SIGTERM)
		wait.Wait()
		Eventually(d.hostProcesses[holder], 10*time.Second).Should(gexec.Exit(0))
		Expect(outcomes).To(HaveLen(1), "%v", outcomes)
		Expect(outcomes["Answered"]).To(BeNumerically(">", 100))
	})

	It("move a frozen server's keys once it is declared down, and run the request sent to it at most once when it resumes", func() {
		d := newDeployment(binary)
		_, owner := d.leaseHolder("ilo-1", "k")
		d.signal(d.serverProcesses[owner], syscall.SIGSTOP)
		id := newID()
		Expect(d.send("ilo-1", "k", id, "500ms")).To(Equal("Unknown"))
		d.postAdmin(d.monitorAddress, "/admin/verdicts", map[string]any{"Down": []string{owner}})
		took := d.until(5*time.Second, func() bool { return d.send("ilo-1", "k", "", "100ms") == "Answered" })
		GinkgoWriter.Println("served again after", took)
		d.signal(d.serverProcesses[owner], syscall.SIGCONT)
		time.Sleep(300 * time.Millisecond) // for the server to handle what it received while it was frozen
		Expect(d.send("ilo-1", "k", id, "500ms")).To(Equal("Unknown"))
		Expect(len(d.runs()[id])).To(BeNumerically("<=", 1))
	})

	It("send no requests to a leaving server from 2 s after the host list says that it leaves", func() {
		d := newDeployment(binary)
		_, owner := d.leaseHolder("ilo-1", "k")
		d.postAdmin(d.platformAddress, "/admin/hosts", map[string]any{"Hosts": append(d.hostEntries, hostentry.HostEntry{Name: owner, DataCentre: "ilo", Leaving: true})})
		time.Sleep(2 * time.Second)
		cutoff := time.Now()
		Expect(d.allKeysAnswered()).To(BeTrue())
		for _, runs := range d.runs() {
			for _, r := range runs {
				Expect(r.Server == owner && r.Began.After(cutoff)).To(BeFalse(), "%s ran a request that began at %s, after %s", r.Server, r.Began, cutoff)
			}
		}
	})

	It("serve keys while the platform is down, also after an entry host is killed, and recover", func() {
		d := newDeployment(binary)
		d.postAdmin(d.platformAddress, "/admin/faults", map[string]any{"Down": true})
		time.Sleep(4 * time.Second) // longer than any lease lasts without a renewal
		Expect(d.allKeysAnswered()).To(BeTrue())
		killed, _ := d.leaseHolder("ilo-1", "k")
		other := otherThan(killed)
		d.signal(d.hostProcesses[killed], syscall.SIGKILL)
		d.until(5*time.Second, func() bool { return d.send(other, "k", "", "100ms") == "Answered" })
		// The change is not accepted, because the host can't read the configuration from the platform.
		out, code := d.runCommand("apply", "--operator", "http://"+d.operatorAddresses[other], "--expected-revision", "1", d.resourcesFile)
		Expect(code).To(Equal(1), out)
		d.postAdmin(d.platformAddress, "/admin/faults", map[string]any{})
		d.startHost(killed)
		d.until(10*time.Second, d.allKeysAnswered)
	})
})

// The exit statuses of commands are 0 for success, 1 for a failure, 2 for invalid input or an unknown change, 3 for a conflict
// with another change and 4 for an unknown result.
var _ = Describe("operators", func() {
	It("see an accepted change on every host within 4 s and after a restart, and a conflicting change refused", func() {
		d := newDeployment(binary)
		operator := "http://" + d.operatorAddresses["ilo-2"]
		changed := d.writeJSON("change.json", map[string]any{"Resources": []map[string]any{{"Kind": "Rank", "Name": "stock", "Target": "1s", "Worth": 9, "QueueLimit": 500, "Default": true}}})

		out, code := d.runCommand("apply", "--operator", operator, "--dry-run", changed)
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("would be accepted as revision 2"))

		out, code = d.runCommand("apply", "--operator", operator, "--expected-revision", "1", "--change", "first", changed)
		Expect(code).To(BeZero(), out)
		d.until(4*time.Second, func() bool {
			for _, h := range d.hostEntries {
				var status struct{ Revision int }
				if !d.getJSON(h.Name, "/v1/status", &status) || status.Revision != 2 {
					return false
				}
			}
			return true
		})
		out, code = d.runCommand("apply", "--operator", operator, "--expected-revision", "1", "--change", "second", changed)
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("revision 2 is in force"))

		out, code = d.runCommand("find", "--operator", operator, "first")
		Expect(code).To(BeZero(), out)
		_, code = d.runCommand("find", "--operator", operator, "second")
		Expect(code).To(Equal(2))

		// The write succeeds, but its response is lost. The host reads the configuration again and finds the change.
		d.postAdmin(d.platformAddress, "/admin/faults", map[string]any{"LoseAnswers": true})
		out, code = d.runCommand("apply", "--operator", operator, "--expected-revision", "2", "--change", "third", "--remove", "Rank/none", changed)
		Expect(code).To(BeZero(), out)
		d.postAdmin(d.platformAddress, "/admin/faults", map[string]any{})

		for _, h := range d.hostEntries {
			d.signal(d.hostProcesses[h.Name], syscall.SIGKILL)
			Eventually(d.hostProcesses[h.Name], 5*time.Second).Should(gexec.Exit())
		}
		for _, h := range d.hostEntries {
			d.startHost(h.Name)
		}
		d.until(15*time.Second, d.allKeysAnswered)
		var status struct{ Revision int }
		Expect(d.getJSON("ilo-3", "/v1/status", &status)).To(BeTrue())
		Expect(status.Revision).To(Equal(3))
	})

	DescribeTable("see all problems of a command in one message", func(args []string, code int, parts ...string) {
		d := &deployment{binary: binary}
		out, got := d.runCommand(args...)
		Expect(got).To(Equal(code), out)
		for _, part := range parts {
			Expect(out).To(ContainSubstring(part))
		}
	},
		Entry("settings", []string{"entry", "--name", "X", "--caller-address", "host", "--log-level", "loud"}, 2,
			"--name", "--data-centre", "--caller-address", "--log-level"),
		Entry("a missing file", []string{"apply", "none.yaml"}, 2, "none.yaml"),
		Entry("no file", []string{"apply"}, 2, "one FILE is needed"),
		Entry("an unknown format", []string{"get", "--format", "xml"}, 2, "--format"),
		Entry("an entry host that does not answer", []string{"get", "--operator", "http://127.0.0.1:1"}, 4, "connection refused"),
	)

	It("can't change the configuration without the token", func() {
		d := newDeployment(binary)
		for _, header := range []string{"", "Bearer wrong"} {
			r, err := http.NewRequest(http.MethodPost, "http://"+d.operatorAddresses["ilo-1"]+"/v1/changes", strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Authorization", header)
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		}
	})
})

// otherThan returns the name of an entry host other than the given one.
func otherThan(name string) string {
	if name == "ilo-1" {
		return "ilo-2"
	}
	return "ilo-1"
}
