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
	It("serve a killed steward's keys again within 5 s and run nothing twice", func() {
		d := newDeployment(binary)
		steward, _ := d.steward("ilo-1", "k")
		other := otherThan(steward)
		id := newID()
		Expect(d.ask(other, "k", id, "1s")).To(Equal("Answered"))
		d.signal(d.hosts[steward], syscall.SIGKILL)
		took := d.until(5*time.Second, func() bool { return d.ask(other, "k", "", "100ms") == "Answered" })
		GinkgoWriter.Println("served again after", took)
		Expect(d.ask(other, "k", id, "1s")).To(Equal("Unknown"))
		Expect(d.runs()[id]).To(HaveLen(1))
	})

	It("go on while the arbiter is stopped, and take it in again", func() {
		d := newDeployment(binary)
		stopped := d.arbiter()
		d.signal(d.hosts[stopped], syscall.SIGSTOP)
		other := otherThan(stopped)
		took := d.until(6*time.Second, func() bool {
			for i := range 12 {
				if d.ask(other, fmt.Sprintf("key-%d", i), "", "100ms") != "Answered" {
					return false
				}
			}
			return true
		})
		GinkgoWriter.Println("served again after", took)
		d.signal(d.hosts[stopped], syscall.SIGCONT)
		d.until(10*time.Second, d.allServed)
		for id, runs := range d.runs() {
			Expect(id == "" || len(runs) == 1).To(BeTrue(), "%s ran %d times", id, len(runs))
		}
	})

	It("cut no request off when an entry host is asked to stop", func() {
		d := newDeployment(binary)
		leaving, _ := d.steward("ilo-1", "k")
		other := otherThan(leaving)
		outcomes := map[string]int{}
		var mu sync.Mutex
		var wait sync.WaitGroup
		stop := time.Now().Add(4 * time.Second)
		for worker := range 4 {
			wait.Go(func() {
				for i := 0; time.Now().Before(stop); i++ {
					o, reason := d.askWhy(other, fmt.Sprintf("key-%d", (worker*7+i)%40), newID(), "2s")
					mu.Lock()
					outcomes[o+reason]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Second)
		d.signal(d.hosts[leaving], syscall.SIGTERM)
		wait.Wait()
		Eventually(d.hosts[leaving], 10*time.Second).Should(gexec.Exit(0))
		Expect(outcomes).To(HaveLen(1), "%v", outcomes)
		Expect(outcomes["Answered"]).To(BeNumerically(">", 100))
	})

	It("move a frozen server's keys on the verdict, and the server runs nothing late when it goes on", func() {
		d := newDeployment(binary)
		_, owner := d.steward("ilo-1", "k")
		d.signal(d.servers[owner], syscall.SIGSTOP)
		id := newID()
		Expect(d.ask("ilo-1", "k", id, "500ms")).To(Equal("Unknown"))
		d.admin(d.monitor, "/admin/verdicts", map[string]any{"Down": []string{owner}})
		took := d.until(5*time.Second, func() bool { return d.ask("ilo-1", "k", "", "100ms") == "Answered" })
		GinkgoWriter.Println("served again after", took)
		d.signal(d.servers[owner], syscall.SIGCONT)
		time.Sleep(300 * time.Millisecond)
		Expect(d.ask("ilo-1", "k", id, "500ms")).To(Equal("Unknown"))
		Expect(len(d.runs()[id])).To(BeNumerically("<=", 1))
	})

	It("give a leaving server no new work 2 s after the list says so", func() {
		d := newDeployment(binary)
		_, owner := d.steward("ilo-1", "k")
		d.admin(d.platform, "/admin/hosts", map[string]any{"Hosts": append(d.list, hostentry.HostEntry{Name: owner, DataCentre: "ilo", Leaving: true})})
		time.Sleep(2 * time.Second)
		began := time.Now()
		Expect(d.allServed()).To(BeTrue())
		for _, runs := range d.runs() {
			for _, r := range runs {
				Expect(r.Server == owner && r.Began.After(began)).To(BeFalse())
			}
		}
	})

	It("go on while the platform is down, lose an entry host and heal", func() {
		d := newDeployment(binary)
		d.admin(d.platform, "/admin/faults", map[string]any{"Down": true})
		time.Sleep(4 * time.Second)
		Expect(d.allServed()).To(BeTrue())
		lost, _ := d.steward("ilo-1", "k")
		other := otherThan(lost)
		d.signal(d.hosts[lost], syscall.SIGKILL)
		d.until(5*time.Second, func() bool { return d.ask(other, "k", "", "100ms") == "Answered" })
		out, code := d.run("apply", "--operator", "http://"+d.operators[other], "--expected-revision", "1", d.file)
		Expect(code).To(Equal(1), out)
		d.admin(d.platform, "/admin/faults", map[string]any{})
		d.startHost(lost)
		d.until(10*time.Second, d.allServed)
	})
})

var _ = Describe("operators", func() {
	It("have their changes in force everywhere within 4 s, for good, and races told apart", func() {
		d := newDeployment(binary)
		operator := "http://" + d.operators["ilo-2"]
		changed := d.write("change.json", map[string]any{"Resources": []map[string]any{{"Kind": "Rank", "Name": "stock", "Target": "1s", "Worth": 9, "QueueLimit": 500, "Default": true}}})

		out, code := d.run("apply", "--operator", operator, "--dry-run", changed)
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("would be accepted as revision 2"))

		out, code = d.run("apply", "--operator", operator, "--expected-revision", "1", "--change", "first", changed)
		Expect(code).To(BeZero(), out)
		d.until(4*time.Second, func() bool {
			for _, h := range d.list {
				var status struct{ Revision int }
				if !d.get(h.Name, "/v1/status", &status) || status.Revision != 2 {
					return false
				}
			}
			return true
		})
		out, code = d.run("apply", "--operator", operator, "--expected-revision", "1", "--change", "second", changed)
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("revision 2 is in force"))

		out, code = d.run("find", "--operator", operator, "first")
		Expect(code).To(BeZero(), out)
		_, code = d.run("find", "--operator", operator, "second")
		Expect(code).To(Equal(2))

		d.admin(d.platform, "/admin/faults", map[string]any{"LoseAnswers": true})
		out, code = d.run("apply", "--operator", operator, "--expected-revision", "2", "--change", "third", "--remove", "Rank/none", changed)
		Expect(code).To(BeZero(), out)
		d.admin(d.platform, "/admin/faults", map[string]any{})

		for _, h := range d.list {
			d.signal(d.hosts[h.Name], syscall.SIGKILL)
			Eventually(d.hosts[h.Name], 5*time.Second).Should(gexec.Exit())
		}
		for _, h := range d.list {
			d.startHost(h.Name)
		}
		d.until(15*time.Second, d.allServed)
		var status struct{ Revision int }
		Expect(d.get("ilo-3", "/v1/status", &status)).To(BeTrue())
		Expect(status.Revision).To(Equal(3))
	})

	DescribeTable("are told all that is wrong at once", func(args []string, code int, parts ...string) {
		d := &deployment{binary: binary}
		out, got := d.run(args...)
		Expect(got).To(Equal(code), out)
		for _, part := range parts {
			Expect(out).To(ContainSubstring(part))
		}
	},
		Entry("settings", []string{"entry", "--name", "X", "--caller-address", "host", "--log-level", "loud"}, 2,
			"--name", "--data-centre", "--caller-address", "--log-level"),
		Entry("a file that is not there", []string{"apply", "none.yaml"}, 2, "none.yaml"),
		Entry("no file", []string{"apply"}, 2, "one FILE is needed"),
		Entry("an unknown format", []string{"get", "--format", "xml"}, 2, "--format"),
		Entry("an entry host that does not answer", []string{"get", "--operator", "http://127.0.0.1:1"}, 4, "connection refused"),
	)

	It("without the token may look but not change", func() {
		d := newDeployment(binary)
		for _, header := range []string{"", "Bearer wrong"} {
			r, err := http.NewRequest(http.MethodPost, "http://"+d.operators["ilo-1"]+"/v1/changes", strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Authorization", header)
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		}
	})
})

func otherThan(name string) string {
	if name == "ilo-1" {
		return "ilo-2"
	}
	return "ilo-1"
}
