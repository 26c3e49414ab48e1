// Package simulation feeds the decisions of one cell's hosts by hand, with a virtual clock and small fakes at the interfaces:
// the platform, the backend servers and the wires between hosts. It serves tests and measurements.
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
	tickInterval = 100 * time.Millisecond
	// envelope is what jsonrpc2 adds to a message.
	envelope = `{"method":"Message","params":{"Kind":"Report","Message":},"id":0,"jsonrpc":"2.0"}`
	// frameLength is the length of a frame's header, in bytes.
	frameLength = 4
)

// Simulation is the hosts of one cell and the fakes around them. It is not safe for use by several goroutines.
type Simulation struct {
	start time.Time
	*timeline.Timeline
	random     *rand.Rand
	timing     timing.Timing
	dataCentre string
	nodes      map[string]*node
	names      []string
	platform   *platform
	servers    map[string]*server
	down       []string
	leaving    map[string]bool
	cuts       map[[2]string]bool
	// Loss and Double are the shares of messages that are lost and that arrive twice.
	Loss   float64
	Double float64
	// Late is the share of messages that take up to LateBy, as they do to a process that is stopped and goes on.
	Late   float64
	LateBy time.Duration
	ticket uint64
	// Outcomes are what callers were told, by ticket.
	Outcomes map[uint64]outcome.Outcome
	// IsMetered turns the counting of messages, bytes and processor time on.
	IsMetered bool
	usage     map[string]usage.Usage
	wires     map[[2]string]*wire
	// OnStep is called after each step of a host.
	OnStep     func(name string)
	violations []string
	running    map[string]occupancy
}

// New returns the hosts of a data centre as a configuration declares them, stopped at a start time. The same seed gives
// the same run.
func New(c configuration.Configuration, dataCentre string, t timing.Timing, seed uint64) *Simulation {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &Simulation{start: start, Timeline: timeline.New(start), random: rand.New(rand.NewPCG(seed, 7)), timing: t, dataCentre: dataCentre,
		nodes: map[string]*node{}, servers: map[string]*server{}, leaving: map[string]bool{}, cuts: map[[2]string]bool{},
		Outcomes: map[uint64]outcome.Outcome{}, running: map[string]occupancy{}, usage: map[string]usage.Usage{}, wires: map[[2]string]*wire{}, OnStep: func(string) {}}
	d.platform = newPlatform(d)
	d.platform.put(configurationKey, encode(c))
	for _, name := range c.DataCentres[dataCentre].EntryHosts {
		d.names = append(d.names, name)
		d.StartHost(name)
	}
	for _, b := range c.ServersOf("", dataCentre) {
		d.servers[b.Name] = &server{declared: b, ran: map[string][]string{}}
	}
	return d
}

// Elapsed returns the virtual time since the start.
func (d *Simulation) Elapsed() time.Duration { return d.Now().Sub(d.start) }

// Names returns the names of the hosts.
func (d *Simulation) Names() []string { return d.names }

// Random returns the drive's source of random numbers.
func (d *Simulation) Random() *rand.Rand { return d.random }

// Host returns the state of a host.
func (d *Simulation) Host(name string) host.Host { return d.nodes[name].host }

// Violations returns the invariants that broke, as texts.
func (d *Simulation) Violations() []string { return d.violations }

// RunUntil lets time pass until a condition holds, and reports whether it held within the length.
func (d *Simulation) RunUntil(length time.Duration, holds func() bool) bool {
	for end := d.Now().Add(length); d.Now().Before(end); {
		if holds() {
			return true
		}
		d.Run(10 * time.Millisecond)
	}
	return holds()
}

// Ask sends a caller's request to a host and returns its ticket.
func (d *Simulation) Ask(name string, r request.Request, patience time.Duration) uint64 {
	d.ticket++
	n := d.nodes[name]
	r = r.WithDeadline(n.clock(d.Now()).Add(patience))
	d.deliver(name, 0, event.RequestReceived{Ticket: d.ticket, Request: r})
	return d.ticket
}

// Configure puts a configuration in the platform as its next revision.
func (d *Simulation) Configure(c configuration.Configuration) {
	d.platform.put(configurationKey, encode(c))
}

// Usage returns what a host has used since the last call.
func (d *Simulation) Usage(name string) usage.Usage {
	u := d.usage[name]
	delete(d.usage, name)
	return u
}

// PlatformCalls returns the calls to the platform so far.
func (d *Simulation) PlatformCalls() int { return d.platform.calls }

// Kept returns what the platform keeps under a key.
func (d *Simulation) Kept(key string) ([]byte, int64) {
	r := d.platform.present(key)
	return r.value, r.revision
}

func (d *Simulation) tick(n *node, delay time.Duration) {
	d.After(delay, func() {
		if !n.isAlive {
			return
		}
		if !n.isPaused {
			d.step(n, event.Ticked{})
		}
		d.tick(n, tickInterval)
	})
}

// step steps a host and carries out what it asks.
func (d *Simulation) step(n *node, e event.Event) {
	var effects []effect.Effect
	began := time.Now()
	n.host, effects = n.host.Step(e, n.clock(d.Now()))
	if d.IsMetered {
		d.usage[n.name] = d.usage[n.name].WithStep(time.Since(began))
	}
	d.OnStep(n.name)
	for _, f := range effects {
		d.perform(n, f)
	}
}

func (d *Simulation) perform(n *node, e effect.Effect) {
	switch f := e.(type) {
	case effect.Send:
		d.send(n, f)
	case effect.ReadKey:
		d.platform.read(n, f)
	case effect.WriteKey:
		d.platform.write(n, f)
	case effect.ListHosts:
		d.platform.calls++
		if d.platform.reaches(n) {
			d.deliverTo(n, d.delay(), event.HostsListed{Hosts: d.listed()})
		}
	case effect.ReadVerdicts:
		d.deliverTo(n, d.delay(), event.VerdictsReceived{Down: slices.Clone(d.down)})
	case effect.Run:
		d.servers[f.Server].run(d, n, f)
	case effect.Abort:
	case effect.CompleteRequest:
		d.Outcomes[f.Ticket] = f.Outcome
	default:
		d.violate("effect %T left the host", e)
	}
}

func (d *Simulation) listed() []hostentry.HostEntry {
	var all []hostentry.HostEntry
	for _, name := range d.names {
		all = append(all, hostentry.HostEntry{Name: name, DataCentre: d.dataCentre, Address: "127.0.0.1:1", Leaving: d.leaving[name]})
	}
	for name, isLeaving := range d.leaving {
		if _, isHost := d.nodes[name]; !isHost && isLeaving {
			all = append(all, hostentry.HostEntry{Name: name, DataCentre: d.dataCentre, Leaving: true})
		}
	}
	slices.SortFunc(all, func(a, b hostentry.HostEntry) int { return compare(a.Name, b.Name) })
	return all
}

func (d *Simulation) violate(format string, args ...any) {
	if len(d.violations) < 20 {
		d.violations = append(d.violations, fmt.Sprintf("%8s ", d.Elapsed().Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}
