package simulation_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/assignment"
	"redwingsill/core/example"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/simulation"
	"redwingsill/core/timing"
)

const (
	propertyHosts   = 5
	propertyServers = 3
	propertySteps   = 25
)

// The seed and number of checks are fixed, so that every run has the same verdict. The flags -rapid.seed and
// -rapid.checks on the command line go before them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// asked is a request that a caller has sent.
type asked struct {
	ticket uint64
	id     string
	issued time.Time
}

// TestOwnershipUnderRandomFaults checks after every step of every host that no server has two stewards and no unit two
// servers, that no request id runs twice and none runs that was told NotRun, that no host goes back to an older
// assignment, and that all is served again once the faults have ended.
func TestOwnershipUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := example.Size{Hosts: rapid.IntRange(3, propertyHosts).Draw(t, "Hosts"), Servers: propertyServers, ServerSlots: 2, Slots: 9, HotKeys: 4,
			ChecksGrants: rapid.Bool().Draw(t, "ChecksGrants")}
		d := simulation.New(size.Configuration(), example.DataCentre, timing.Default(), rapid.Uint64().Draw(t, "Seed"))
		d.Loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "Loss")
		d.Double = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "Double")
		d.Late = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "Late")
		d.LateBy = 4 * time.Second
		newest := map[string]assignment.Assignment{}
		d.OnStep = func(name string) {
			d.Serving()
			a := d.Host(name).Group().Member().Assignment()
			if old := newest[name]; a.Term < old.Term || a.Term == old.Term && a.Version < old.Version {
				t.Fatalf("%s went back from assignment %d.%d to %d.%d", name, old.Term, old.Version, a.Term, a.Version)
			}
			newest[name] = a
			if v := d.Violations(); len(v) > 0 {
				t.Fatalf("%v", v)
			}
		}
		var sent []asked
		for range rapid.IntRange(3, propertySteps).Draw(t, "Steps") {
			sent = fault(t, d, newest, sent)
			d.Run(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 300, 700, 1500, 2500, 3500}).Draw(t, "Milliseconds")) * time.Millisecond)
		}
		heal(d, newest)
		if !d.RunUntil(15*time.Second, allServed(d)) {
			t.Fatalf("15 s after the faults %d of %d units are served", len(d.Serving()), len(d.Units()))
		}
		d.Run(2 * time.Second)
		judge(t, d, sent)
	})
}

// fault draws one thing that happens.
func fault(t *rapid.T, d *simulation.Simulation, newest map[string]assignment.Assignment, sent []asked) []asked {
	host := rapid.SampledFrom(d.Names()).Draw(t, "Host")
	other := rapid.SampledFrom(append([]string{"platform"}, d.Names()...)).Draw(t, "Other")
	server := fmt.Sprintf("%s-%d", example.Service, rapid.IntRange(1, propertyServers).Draw(t, "Server"))
	switch rapid.SampledFrom([]string{"kill", "replace", "pause", "resume", "cut", "heal", "down", "up", "leaving", "platform",
		"leave", "freeze", "thaw", "ask", "ask", "ask", "repeat", "repeat", "split", "split", "join", "killArbiter", "pauseArbiter",
		"isolateArbiter"}).Draw(t, "Fault") {
	case "split":
		split(t, d)
	case "join":
		join(d)
	case "killArbiter":
		d.KillHost(anyArbiter(d))
	case "pauseArbiter":
		d.PauseHost(anyArbiter(d))
	case "isolateArbiter":
		cutOff(d, anyArbiter(d))
	case "kill":
		d.KillHost(host)
	case "replace":
		d.KillHost(host)
		delete(newest, host)
		d.StartHost(host)
	case "pause":
		d.PauseHost(host)
	case "resume":
		d.ResumeHost(host)
	case "cut":
		d.Cut(host, other, true)
	case "heal":
		d.Cut(host, other, false)
	case "down":
		d.SetDown(server)
	case "up":
		d.SetDown()
	case "leaving":
		d.SetLeaving(server, rapid.Bool().Draw(t, "Leaving"))
	case "platform":
		d.SetPlatform(rapid.Bool().Draw(t, "PlatformDown"), rapid.Bool().Draw(t, "LosesAnswers"))
	case "leave":
		d.LeaveHost(host)
	case "freeze":
		d.FreezeServer(server, true)
	case "thaw":
		d.FreezeServer(server, false)
	case "ask":
		a := asked{id: fmt.Sprintf("id-%d", len(sent)), issued: d.Now()}
		return append(sent, ask(t, d, host, a))
	case "repeat":
		if len(sent) > 0 {
			a := rapid.SampledFrom(sent).Draw(t, "Repeated")
			return append(sent, ask(t, d, host, a))
		}
	}
	return sent
}

// split cuts the hosts and the platform into two parts that do not reach each other.
func split(t *rapid.T, d *simulation.Simulation) {
	side := map[string]bool{"platform": true}
	for _, name := range d.Names() {
		side[name] = rapid.Bool().Draw(t, "Side")
	}
	for _, a := range d.Names() {
		for b := range side {
			d.Cut(a, b, side[a] != side[b])
		}
	}
}

func join(d *simulation.Simulation) {
	for _, a := range d.Names() {
		for _, b := range append([]string{"platform"}, d.Names()...) {
			d.Cut(a, b, false)
		}
	}
}

func anyArbiter(d *simulation.Simulation) string {
	if name := arbiterOf(d); name != "" {
		return name
	}
	return d.Names()[0]
}

// ask sends a request whose key follows from its id.
func ask(t *rapid.T, d *simulation.Simulation, host string, a asked) asked {
	key := a.id
	if len(a.id)%2 == 0 {
		key = "hot"
	}
	patience := time.Duration(rapid.IntRange(50, 3000).Draw(t, "Patience")) * time.Millisecond
	a.ticket = d.Ask(host, request.Request{ID: a.id, IssuedAt: a.issued, Service: example.Service, Key: key,
		Rank: example.MiddleRank, Caller: host}, patience)
	return a
}

func heal(d *simulation.Simulation, newest map[string]assignment.Assignment) {
	d.Loss, d.Double, d.Late = 0, 0, 0
	join(d)
	d.SetPlatform(false, false)
	d.SetDown()
	for i := range propertyServers {
		d.SetLeaving(fmt.Sprintf("%s-%d", example.Service, i+1), false)
		d.FreezeServer(fmt.Sprintf("%s-%d", example.Service, i+1), false)
	}
	for _, name := range d.Names() {
		d.KillHost(name)
		delete(newest, name)
		d.StartHost(name)
	}
}

func judge(t *rapid.T, d *simulation.Simulation, sent []asked) {
	if v := d.Violations(); len(v) > 0 {
		t.Fatalf("%v", v)
	}
	if twice := d.RanTwice(); len(twice) > 0 {
		t.Fatalf("ran twice: %v", twice)
	}
	told := map[string]bool{}
	for _, a := range sent {
		_, notRun := d.Outcomes[a.ticket].(outcome.NotRun)
		all, seen := told[a.id]
		told[a.id] = notRun && (all || !seen)
	}
	for id, onlyNotRun := range told {
		if onlyNotRun && d.Ran(id) {
			t.Fatalf("%s was told NotRun and ran", id)
		}
	}
}
