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
	maxHosts    = 5
	serverCount = 3
	maxSteps    = 25
)

// init fixes the seed and the number of checks, so that every run gives the same result, and keeps rapid from writing
// files about failures. The flags -rapid.seed and -rapid.checks on the command line override the first two.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// submission is a request that a caller has sent. Repeats of a request share its ID and issue time.
type submission struct {
	ticket   uint64
	id       string
	issuedAt time.Time
}

// TestOwnershipUnderRandomFaults checks after every step of every host that no server has two lease holders, no unit is
// served by two servers, and no host returns to an older assignment. It also checks that no request ID runs twice, that no
// request reported only as NotRun has run, and that every unit is served again within 15 s after all faults have ended
// and all hosts have restarted.
func TestOwnershipUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := example.Size{Hosts: rapid.IntRange(3, maxHosts).Draw(t, "Hosts"), Servers: serverCount, ServerSlots: 2, HashSlots: 9, HotKeys: 4,
			ChecksGrants: rapid.Bool().Draw(t, "ChecksGrants")}
		sim := simulation.New(size.Configuration(), example.DataCentre, timing.Default(), rapid.Uint64().Draw(t, "Seed"))
		sim.LossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "Loss")
		sim.DuplicationRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "Double")
		sim.DelayRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "Late")
		sim.MaxDelay = 4 * time.Second
		newestAssignments := map[string]assignment.Assignment{}
		sim.OnStep = func(name string) {
			sim.ServingServers()
			a := sim.Host(name).Group().Member().Assignment()
			if old := newestAssignments[name]; a.Term < old.Term || a.Term == old.Term && a.Version < old.Version {
				t.Fatalf("%s returned from assignment %d.%d to %d.%d", name, old.Term, old.Version, a.Term, a.Version)
			}
			newestAssignments[name] = a
			if v := sim.Violations(); len(v) > 0 {
				t.Fatalf("%v", v)
			}
		}
		var sent []submission
		for range rapid.IntRange(3, maxSteps).Draw(t, "Steps") {
			sent = performRandomStep(t, sim, newestAssignments, sent)
			sim.Advance(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 300, 700, 1500, 2500, 3500}).Draw(t, "Milliseconds")) * time.Millisecond)
		}
		healAll(sim, newestAssignments)
		if !sim.AdvanceUntil(15*time.Second, allServed(sim)) {
			t.Fatalf("15 s after the end of all faults only %d of %d units are served", len(sim.ServingServers()), len(sim.Units()))
		}
		sim.Advance(2 * time.Second)
		checkRequests(t, sim, sent)
	})
}

// performRandomStep draws and performs one fault, recovery or request, and returns the requests sent so far.
func performRandomStep(t *rapid.T, sim *simulation.Simulation, newestAssignments map[string]assignment.Assignment, sent []submission) []submission {
	host := rapid.SampledFrom(sim.HostNames()).Draw(t, "Host")
	other := rapid.SampledFrom(append([]string{"platform"}, sim.HostNames()...)).Draw(t, "Other")
	server := fmt.Sprintf("%s-%d", example.Service, rapid.IntRange(1, serverCount).Draw(t, "Server"))
	switch rapid.SampledFrom([]string{"kill", "replace", "pause", "resume", "partitionPair", "healPair", "down", "up", "leaving", "platform",
		"shutDown", "freeze", "unfreeze", "submit", "submit", "submit", "repeat", "repeat", "partition", "partition", "healPartitions", "killLeader", "pauseLeader",
		"isolateLeader"}).Draw(t, "Fault") {
	case "partition":
		partition(t, sim)
	case "healPartitions":
		healPartitions(sim)
	case "killLeader":
		sim.KillHost(leaderOrFirstHost(sim))
	case "pauseLeader":
		sim.PauseHost(leaderOrFirstHost(sim))
	case "isolateLeader":
		isolate(sim, leaderOrFirstHost(sim))
	case "kill":
		sim.KillHost(host)
	case "replace":
		sim.KillHost(host)
		delete(newestAssignments, host)
		sim.StartHost(host)
	case "pause":
		sim.PauseHost(host)
	case "resume":
		sim.ResumeHost(host)
	case "partitionPair":
		sim.SetPartitioned(host, other, true)
	case "healPair":
		sim.SetPartitioned(host, other, false)
	case "down":
		sim.SetDownServers(server)
	case "up":
		sim.SetDownServers()
	case "leaving":
		sim.SetLeaving(server, rapid.Bool().Draw(t, "Leaving"))
	case "platform":
		sim.SetPlatformFaults(rapid.Bool().Draw(t, "PlatformDown"), rapid.Bool().Draw(t, "LosesAnswers"))
	case "shutDown":
		sim.ShutDownHost(host)
	case "freeze":
		sim.FreezeServer(server, true)
	case "unfreeze":
		sim.FreezeServer(server, false)
	case "submit":
		s := submission{id: fmt.Sprintf("id-%d", len(sent)), issuedAt: sim.Now()}
		return append(sent, submit(t, sim, host, s))
	case "repeat":
		if len(sent) > 0 {
			s := rapid.SampledFrom(sent).Draw(t, "Repeated")
			return append(sent, submit(t, sim, host, s))
		}
	}
	return sent
}

// partition divides the hosts and the platform at random into two sets without traffic between them.
func partition(t *rapid.T, sim *simulation.Simulation) {
	isOnPlatformSide := map[string]bool{"platform": true}
	for _, name := range sim.HostNames() {
		isOnPlatformSide[name] = rapid.Bool().Draw(t, "Side")
	}
	for _, a := range sim.HostNames() {
		for b := range isOnPlatformSide {
			sim.SetPartitioned(a, b, isOnPlatformSide[a] != isOnPlatformSide[b])
		}
	}
}

// healPartitions restores all traffic between hosts and with the platform.
func healPartitions(sim *simulation.Simulation) {
	for _, a := range sim.HostNames() {
		for _, b := range append([]string{"platform"}, sim.HostNames()...) {
			sim.SetPartitioned(a, b, false)
		}
	}
}

// leaderOrFirstHost returns the leader, or the first host if there is none.
func leaderOrFirstHost(sim *simulation.Simulation) string {
	if name := leaderOf(sim); name != "" {
		return name
	}
	return sim.HostNames()[0]
}

// submit sends a request with a random timeout. Its key is "hot" if its ID has an even length, as the IDs of the first ten
// requests have, and the ID otherwise.
func submit(t *rapid.T, sim *simulation.Simulation, host string, s submission) submission {
	key := s.id
	if len(s.id)%2 == 0 {
		key = "hot"
	}
	timeout := time.Duration(rapid.IntRange(50, 3000).Draw(t, "Patience")) * time.Millisecond
	s.ticket = sim.Submit(host, request.Request{ID: s.id, IssuedAt: s.issuedAt, Service: example.Service, Key: key,
		Rank: example.MiddleRank, Caller: host}, timeout)
	return s
}

// healAll ends every fault and restarts every host.
func healAll(sim *simulation.Simulation, newestAssignments map[string]assignment.Assignment) {
	sim.LossRate, sim.DuplicationRate, sim.DelayRate = 0, 0, 0
	healPartitions(sim)
	sim.SetPlatformFaults(false, false)
	sim.SetDownServers()
	for i := range serverCount {
		sim.SetLeaving(fmt.Sprintf("%s-%d", example.Service, i+1), false)
		sim.FreezeServer(fmt.Sprintf("%s-%d", example.Service, i+1), false)
	}
	for _, name := range sim.HostNames() {
		sim.KillHost(name)
		delete(newestAssignments, name)
		sim.StartHost(name)
	}
}

// checkRequests checks that there were no invariant violations, that no request ID ran twice, and that a request did not run
// if all its submissions were reported as NotRun.
func checkRequests(t *rapid.T, sim *simulation.Simulation, sent []submission) {
	if v := sim.Violations(); len(v) > 0 {
		t.Fatalf("%v", v)
	}
	if repeated := sim.RepeatedRuns(); len(repeated) > 0 {
		t.Fatalf("request IDs that ran more than once: %v", repeated)
	}
	onlyNotRun := map[string]bool{}
	for _, s := range sent {
		_, notRun := sim.Outcomes[s.ticket].(outcome.NotRun)
		soFar, seen := onlyNotRun[s.id]
		onlyNotRun[s.id] = notRun && (soFar || !seen)
	}
	for id, isOnlyNotRun := range onlyNotRun {
		if isOnlyNotRun && sim.HasRun(id) {
			t.Fatalf("request %s ran, although every submission of it was reported as NotRun", id)
		}
	}
}
