// Package simulation runs the hosts of one group deterministically in virtual time, against fakes of the platform
// (a key-value store and a list of hosts), the backend servers and the network between hosts. Tests and measurements use it.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/host"
	"redwingsill/core/hostentry"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/timeline"
	"redwingsill/core/timing"
	"redwingsill/core/usage"
)

const (
	// tickInterval is the time between a host's timer events.
	tickInterval = 100 * time.Millisecond
	// maxViolations is how many invariant violations are kept; later ones are dropped.
	maxViolations = 20
	// rpcEnvelope approximates the JSON that jsonrpc2 puts around a message, for measuring its size.
	rpcEnvelope = `{"method":"Message","params":{"Kind":"Report","Message":},"id":0,"jsonrpc":"2.0"}`
	// frameHeaderBytes is the size of the length that precedes each message on a connection between peers.
	frameHeaderBytes = 4
)

// Simulation runs the hosts of one group and the fakes around them. It is not safe for concurrent use.
type Simulation struct {
	start time.Time
	*timeline.Timeline
	random     *rand.Rand
	timing     timing.Timing
	dataCentre string
	// nodes holds the current or last incarnation of each host, by name.
	nodes     map[string]*node
	hostNames []string
	platform  *platform
	servers   map[string]*server
	// downServers lists the backend servers that the simulated monitoring system reports as down, in its verdicts.
	downServers []string
	// leaving holds the hosts and backend servers that the platform lists as leaving.
	leaving map[string]bool
	// partitions holds the pairs of sender and receiver between which all traffic is blocked.
	partitions map[[2]string]bool
	// LossRate and DuplicationRate are the shares, from 0 to 1, of messages that are lost and that arrive twice. A duplicate is
	// delayed by up to 200 ms more.
	LossRate        float64
	DuplicationRate float64
	// DelayRate is the share of messages delayed by up to MaxDelay more, as for a process that is suspended and resumed.
	DelayRate  float64
	MaxDelay   time.Duration
	lastTicket uint64
	// Outcomes holds the outcomes reported to callers, by ticket.
	Outcomes map[uint64]outcome.Outcome
	// IsMetered enables the counting of control messages, their bytes and the time spent in steps of the hosts.
	IsMetered bool
	// usage holds the usage of each host since the last [Simulation.TakeUsage], by name.
	usage map[string]usage.Usage
	// meters holds the meter of each connection, by sender and receiver.
	meters map[[2]string]*connectionMeter
	// OnStep is called after each step of a host.
	OnStep     func(name string)
	violations []string
	// activeKeys holds the keys with running requests, each in the form service/key.
	activeKeys map[string]activeKey
}

// New returns a simulation of the hosts and backend servers that a configuration declares for a data centre. All hosts are
// started. The same seed gives the same run.
func New(c configuration.Configuration, dataCentre string, t timing.Timing, seed uint64) *Simulation {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &Simulation{start: start, Timeline: timeline.New(start), random: rand.New(rand.NewPCG(seed, 7)), timing: t, dataCentre: dataCentre,
		nodes: map[string]*node{}, servers: map[string]*server{}, leaving: map[string]bool{}, partitions: map[[2]string]bool{},
		Outcomes: map[uint64]outcome.Outcome{}, activeKeys: map[string]activeKey{}, usage: map[string]usage.Usage{}, meters: map[[2]string]*connectionMeter{}, OnStep: func(string) {}}
	sim.platform = newPlatform(sim)
	sim.platform.put(configurationKey, encodeJSON(c))
	for _, name := range c.DataCentres[dataCentre].EntryHosts {
		sim.hostNames = append(sim.hostNames, name)
		sim.StartHost(name)
	}
	for _, b := range c.ServersOf("", dataCentre) {
		sim.servers[b.Name] = &server{declaration: b, runs: map[string][]string{}}
	}
	return sim
}

// Elapsed returns the virtual time since the start.
func (sim *Simulation) Elapsed() time.Duration { return sim.Now().Sub(sim.start) }

// HostNames returns the names of all hosts, running or not.
func (sim *Simulation) HostNames() []string { return sim.hostNames }

// Random returns the simulation's source of random numbers.
func (sim *Simulation) Random() *rand.Rand { return sim.random }

// Host returns the state of a host's current or last incarnation.
func (sim *Simulation) Host(name string) host.Host { return sim.nodes[name].host }

// Violations describes the invariant violations so far, at most maxViolations.
func (sim *Simulation) Violations() []string { return sim.violations }

// AdvanceUntil advances the clock in steps of 10 ms until a condition holds, for at most length. It reports whether the
// condition held.
func (sim *Simulation) AdvanceUntil(length time.Duration, condition func() bool) bool {
	for end := sim.Now().Add(length); sim.Now().Before(end); {
		if condition() {
			return true
		}
		sim.Advance(10 * time.Millisecond)
	}
	return condition()
}

// Submit sends a caller's request to a host and returns the request's ticket. The deadline is timeout from now by the host's
// clock.
func (sim *Simulation) Submit(name string, r request.Request, timeout time.Duration) uint64 {
	sim.lastTicket++
	n := sim.nodes[name]
	r = r.WithDeadline(n.localTime(sim.Now()).Add(timeout))
	sim.deliver(name, 0, event.RequestReceived{Ticket: sim.lastTicket, Request: r})
	return sim.lastTicket
}

// Configure stores a configuration in the platform.
func (sim *Simulation) Configure(c configuration.Configuration) {
	sim.platform.put(configurationKey, encodeJSON(c))
}

// TakeUsage returns a host's usage since the previous call and resets it.
func (sim *Simulation) TakeUsage(name string) usage.Usage {
	u := sim.usage[name]
	delete(sim.usage, name)
	return u
}

// PlatformCalls returns the number of calls to the platform so far.
func (sim *Simulation) PlatformCalls() int { return sim.platform.calls }

// StoredValue returns the value and revision that the platform stores under a key.
func (sim *Simulation) StoredValue(key string) ([]byte, int64) {
	r := sim.platform.current(key)
	return r.value, r.revision
}

// scheduleTick delivers timer events to a node, first after delay and then every tickInterval, until it is killed.
func (sim *Simulation) scheduleTick(n *node, delay time.Duration) {
	sim.After(delay, func() {
		if !n.isAlive {
			return
		}
		if !n.isPaused {
			sim.step(n, event.Ticked{})
		}
		sim.scheduleTick(n, tickInterval)
	})
}

// step passes an event to a host and performs the resulting effects.
func (sim *Simulation) step(n *node, e event.Event) {
	var effects []effect.Effect
	began := time.Now()
	n.host, effects = n.host.Step(e, n.localTime(sim.Now()))
	if sim.IsMetered {
		sim.usage[n.name] = sim.usage[n.name].WithStep(time.Since(began))
	}
	sim.OnStep(n.name)
	for _, f := range effects {
		sim.perform(n, f)
	}
}

// perform carries out an effect of a host on the fakes.
func (sim *Simulation) perform(n *node, e effect.Effect) {
	switch f := e.(type) {
	case effect.Send:
		sim.send(n, f)
	case effect.ReadKey:
		sim.platform.read(n, f)
	case effect.WriteKey:
		sim.platform.write(n, f)
	case effect.ListHosts:
		sim.platform.calls++
		if sim.platform.isReachableFrom(n) {
			sim.deliverToNode(n, sim.networkDelay(), event.HostsListed{Hosts: sim.hostEntries()})
		}
	case effect.ReadVerdicts:
		sim.deliverToNode(n, sim.networkDelay(), event.VerdictsReceived{Down: slices.Clone(sim.downServers)})
	case effect.Run:
		sim.servers[f.Server].run(sim, n, f)
	case effect.Abort: // a fake server finishes every request that it runs
	case effect.CompleteRequest:
		sim.Outcomes[f.Ticket] = f.Outcome
	default:
		sim.recordViolation("unexpected effect %T from a host", e)
	}
}

// hostEntries returns the platform's host list: all hosts, and the backend servers that are leaving.
func (sim *Simulation) hostEntries() []hostentry.HostEntry {
	var entries []hostentry.HostEntry
	for _, name := range sim.hostNames {
		entries = append(entries, hostentry.HostEntry{Name: name, DataCentre: sim.dataCentre, Address: "127.0.0.1:1", Leaving: sim.leaving[name]})
	}
	for name, isLeaving := range sim.leaving {
		if _, isHost := sim.nodes[name]; !isHost && isLeaving {
			entries = append(entries, hostentry.HostEntry{Name: name, DataCentre: sim.dataCentre, Leaving: true})
		}
	}
	slices.SortFunc(entries, func(a, b hostentry.HostEntry) int { return compareNames(a.Name, b.Name) })
	return entries
}

// recordViolation records an invariant violation with its virtual time. Only the first maxViolations are kept.
func (sim *Simulation) recordViolation(format string, args ...any) {
	if len(sim.violations) < maxViolations {
		sim.violations = append(sim.violations, fmt.Sprintf("%8s ", sim.Elapsed().Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}
