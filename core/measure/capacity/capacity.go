// Package capacity measures what control costs against the size of a cell, to work out what it costs at the target.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/dedup"
	"redwingsill/core/example"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/simulation"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
	"redwingsill/core/unit"
	"redwingsill/core/view"
)

const (
	settle   = 8 * time.Second
	observed = 20 * time.Second
	hotRate  = 40 // requests per second for each hot key
)

// Capacity is a measurement. Messages and bytes follow from the seed; processor time and memory are the machine's.
type Capacity struct {
	seed uint64
}

// New returns a measurement.
func New(seed uint64) Capacity { return Capacity{seed: seed} }

var base = size{varied: "Base", hosts: 4, servers: 11, slots: 256}

// Run measures cells of several sizes, one thing varied at a time.
func (c Capacity) Run() any {
	var sizes []size
	vary := func(name string, values []int, set func(s *size, n int)) {
		for _, n := range values {
			s := base
			s.varied = name
			set(&s, n)
			sizes = append(sizes, s)
		}
	}
	vary("Hosts", []int{4, 8, 12, 20}, func(s *size, n int) { s.hosts = n })
	vary("Servers", []int{11, 22, 44}, func(s *size, n int) { s.servers = n })
	vary("Slots", []int{256, 1024, 4096}, func(s *size, n int) { s.slots = n })
	vary("HotKeys", []int{0, 10, 20}, func(s *size, n int) { s.hotKeys = n })
	vary("ChangesPerMinute", []int{0, 6, 13}, func(s *size, n int) { s.changes = n })
	out := report{Seed: c.seed, Memory: memories()}
	for _, s := range sizes {
		out.Cells = append(out.Cells, c.measure(s))
	}
	out.Slopes = append(slopes(out.Cells), memorySlopes(out.Memory)...)
	return out
}

func (c Capacity) measure(s size) cellResult {
	cfg := example.Size{Hosts: s.hosts, Servers: s.servers, ServerSlots: 2, Slots: s.slots, HotKeys: s.hotKeys}.Configuration()
	d := simulation.New(cfg, example.DataCentre, timing.Default(), c.seed)
	d.Run(settle)
	arbiter, member := roles(d)
	d.IsMetered = true
	calls := d.PlatformCalls()
	result := cellResult{Varied: s.varied, Hosts: s.hosts, Servers: s.servers, Slots: s.slots, HotKeys: s.hotKeys,
		ChangesPerMinute: s.changes, ConfigurationKilobyte: float64(len(encoded(cfg))) / 1000}
	result.ConfigurationInForce = pass(d, cfg, s)
	seconds := observed.Seconds()
	a, m := d.Usage(arbiter), d.Usage(member)
	result.ArbiterMessages = float64(a.Sent+a.Received) / seconds
	result.ArbiterBytes = float64(a.SentBytes+a.ReceivedBytes) / seconds
	result.ArbiterBusyPercent = 100 * a.Busy.Seconds() / seconds
	result.MemberMessages = float64(m.Sent+m.Received) / seconds
	result.MemberBytes = float64(m.SentBytes+m.ReceivedBytes) / seconds
	result.MemberBusyPercent = 100 * m.Busy.Seconds() / seconds
	result.PlatformCalls = float64(d.PlatformCalls()-calls) / seconds
	return result
}

// pass lets the observed time pass with hot keys and changes of configuration, and returns how long the slowest change
// took to be in force at every host, in milliseconds.
func pass(d *simulation.Simulation, cfg configuration.Configuration, s size) float64 {
	end := d.Now().Add(observed)
	nextChange := d.Now()
	worst := 0.0
	random := rand.New(rand.NewPCG(1, 1))
	for d.Now().Before(end) {
		if s.changes > 0 && !d.Now().Before(nextChange) {
			nextChange = nextChange.Add(time.Minute / time.Duration(s.changes))
			rank := cfg.Ranks[example.PatientRank]
			rank.Worth++
			cfg = cfg.With(rank).WithAcceptedChange(fmt.Sprintf("change-%d", cfg.Revision), "measure", d.Now(), []string{"~ Rank/stock"})
			d.Configure(cfg)
			began := d.Now()
			d.RunUntil(5*time.Second, func() bool { return isInForce(d, cfg.Revision) })
			worst = max(worst, float64(d.Now().Sub(began))/float64(time.Millisecond))
		}
		for range s.hotKeys * hotRate / 20 {
			key := fmt.Sprintf("hot-%d", random.IntN(s.hotKeys))
			host := d.Names()[random.IntN(len(d.Names()))]
			d.Ask(host, request.Request{Service: example.Service, Key: key, Rank: example.MiddleRank, Caller: host}, 500*time.Millisecond)
		}
		d.Run(50 * time.Millisecond)
	}
	return worst
}

func isInForce(d *simulation.Simulation, revision int64) bool {
	for _, name := range d.Names() {
		if d.Host(name).Snapshot().Configuration.Revision < revision {
			return false
		}
	}
	return true
}

func roles(d *simulation.Simulation) (arbiter, member string) {
	for _, name := range d.Names() {
		if _, ok := d.Host(name).Group().Leader(); ok {
			arbiter = name
		} else {
			member = name
		}
	}
	return arbiter, member
}

// memories measures what a host keeps for slots, hot keys, backend servers and request ids.
func memories() []memoryResult {
	var results []memoryResult
	measure := func(name string, counts []int, build func(n int) any) {
		for _, n := range counts {
			bytes := heapOf(func() any { return build(n) })
			results = append(results, memoryResult{Kept: name, Count: n, Bytes: bytes, BytesOne: float64(bytes) / float64(n)})
		}
	}
	measure("Slots", []int{1 << 10, 1 << 13, 1 << 16}, func(n int) any {
		a := assignment.Assignment{}.WithSlots(example.Service, n)
		return &a
	})
	measure("HotKeys", []int{50, 500, 5000}, func(n int) any {
		a := assignment.Assignment{}.WithSlots(example.Service, 256)
		for i := range n {
			hash := unit.HashKey(fmt.Sprint(i))
			a = a.WithOwner(unit.Unit{Service: example.Service, Slot: int(hash % 256), KeyHash: hash}, "inventario-1")
		}
		return &a
	})
	measure("BackendServers", []int{30, 300, 3000}, func(n int) any {
		c := configuration.Configuration{}
		c.BackendServers = map[string]resource.BackendServer{}
		for i := range n {
			name := fmt.Sprintf("inventario-%d", i)
			c.BackendServers[name] = resource.BackendServer{Name: name, Service: example.Service, DataCentre: example.DataCentre,
				Address: fmt.Sprintf("127.0.0.1:%d", i), Slots: 2, Connections: 130}
		}
		s := snapshot.New("ilo-1", example.DataCentre, c, assignment.Assignment{}, view.View{})
		return &s
	})
	measure("RequestIds", []int{1000, 10_000, 100_000}, func(n int) any {
		m := dedup.New(n, time.Hour, time.Second, time.Time{})
		for i := range n {
			id := fmt.Sprintf("018f0000-0000-7000-8000-%012d", i)
			m = m.WithStarted(id, unit.Unit{Service: example.Service, Slot: i % 256, KeyHash: uint64(i)}, time.Unix(int64(i), 0))
			m = m.WithOutcome(id, outcome.Answered{Status: 200, Body: []byte(`{"Lot":7}`)})
		}
		return &m
	})
	return results
}

// heapOf returns the bytes that a value keeps.
func heapOf(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// slopes fits a line to each figure against each thing that was varied.
func slopes(cells []cellResult) []slope {
	figures := []struct {
		name string
		of   func(r cellResult) float64
	}{
		{"ArbiterMessages", func(r cellResult) float64 { return r.ArbiterMessages }},
		{"ArbiterBytes", func(r cellResult) float64 { return r.ArbiterBytes }},
		{"ArbiterBusyPercent", func(r cellResult) float64 { return r.ArbiterBusyPercent }},
		{"MemberBytes", func(r cellResult) float64 { return r.MemberBytes }},
		{"MemberBusyPercent", func(r cellResult) float64 { return r.MemberBusyPercent }},
		{"PlatformCalls", func(r cellResult) float64 { return r.PlatformCalls }},
	}
	varied := map[string]func(r cellResult) int{
		"Hosts":            func(r cellResult) int { return r.Hosts },
		"Servers":          func(r cellResult) int { return r.Servers },
		"Slots":            func(r cellResult) int { return r.Slots },
		"HotKeys":          func(r cellResult) int { return r.HotKeys },
		"ChangesPerMinute": func(r cellResult) int { return r.ChangesPerMinute },
	}
	var all []slope
	for _, against := range []string{"Hosts", "Servers", "Slots", "HotKeys", "ChangesPerMinute"} {
		for _, f := range figures {
			var xs, ys []float64
			for _, r := range cells {
				if r.Varied == against {
					xs, ys = append(xs, float64(varied[against](r))), append(ys, f.of(r))
				}
			}
			all = append(all, fit(f.name, against, xs, ys))
		}
	}
	return all
}

func memorySlopes(results []memoryResult) []slope {
	var all []slope
	for i := 0; i+2 < len(results); i += 3 {
		var xs, ys []float64
		for _, r := range results[i : i+3] {
			xs, ys = append(xs, float64(r.Count)), append(ys, float64(r.Bytes))
		}
		all = append(all, fit("Bytes", results[i].Kept, xs, ys))
	}
	return all
}

func encoded(c configuration.Configuration) []byte {
	text, err := configuration.FormatResources(c.Resources())
	if err != nil {
		panic(err)
	}
	return text
}
