// Package capacity measures the cost of the control protocol at several group sizes, and a host's memory at several numbers of
// items, so that the cost at a larger size can be extrapolated.
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
	// settleTime lets a group complete its startup, and observationTime is the time over which its load is measured.
	settleTime      = 8 * time.Second
	observationTime = 20 * time.Second
	hotKeyRate      = 40 // requests per second for each hot key
)

// Benchmark measures control load and memory. Messages and bytes depend only on the seed; the time that hosts are busy and the
// memory depend on the machine.
type Benchmark struct {
	seed uint64
}

// New returns a benchmark with the given seed.
func New(seed uint64) Benchmark { return Benchmark{seed: seed} }

// baseSize is the size from which one dimension is varied at a time.
var baseSize = size{varied: "Base", hosts: 4, servers: 11, hashSlots: 256}

// Run measures groups of several sizes, varying one dimension at a time, fits lines to the results, and returns the report to
// print.
func (b Benchmark) Run() any {
	var sizes []size
	vary := func(name string, values []int, set func(s *size, n int)) {
		for _, n := range values {
			s := baseSize
			s.varied = name
			set(&s, n)
			sizes = append(sizes, s)
		}
	}
	vary("Hosts", []int{4, 8, 12, 20}, func(s *size, n int) { s.hosts = n })
	vary("Servers", []int{11, 22, 44}, func(s *size, n int) { s.servers = n })
	vary("Slots", []int{256, 1024, 4096}, func(s *size, n int) { s.hashSlots = n })
	vary("HotKeys", []int{0, 10, 20}, func(s *size, n int) { s.hotKeys = n })
	vary("ChangesPerMinute", []int{0, 6, 13}, func(s *size, n int) { s.changesPerMinute = n })
	out := report{Seed: b.seed, Memory: measureMemory()}
	for _, s := range sizes {
		out.Groups = append(out.Groups, b.measureGroup(s))
	}
	out.Slopes = append(fitGroups(out.Groups), fitMemory(out.Memory)...)
	return out
}

// measureGroup simulates a group of one size under load and returns its control load per second.
func (b Benchmark) measureGroup(s size) groupResult {
	cfg := example.Size{Hosts: s.hosts, Servers: s.servers, ServerSlots: 2, HashSlots: s.hashSlots, HotKeys: s.hotKeys}.Configuration()
	sim := simulation.New(cfg, example.DataCentre, timing.Default(), b.seed)
	sim.Advance(settleTime)
	leader, member := leaderAndMember(sim)
	sim.IsMetered = true
	calls := sim.PlatformCalls()
	result := groupResult{Varied: s.varied, Hosts: s.hosts, Servers: s.servers, HashSlots: s.hashSlots, HotKeys: s.hotKeys,
		ChangesPerMinute: s.changesPerMinute, ConfigurationKilobytes: float64(len(encode(cfg))) / 1000}
	result.ConfigurationAppliedMillis = runWorkload(sim, cfg, s)
	seconds := observationTime.Seconds()
	leaderUsage, memberUsage := sim.TakeUsage(leader), sim.TakeUsage(member)
	result.LeaderMessages = float64(leaderUsage.Sent+leaderUsage.Received) / seconds
	result.LeaderBytes = float64(leaderUsage.SentBytes+leaderUsage.ReceivedBytes) / seconds
	result.LeaderBusyPercent = 100 * leaderUsage.Busy.Seconds() / seconds
	result.MemberMessages = float64(memberUsage.Sent+memberUsage.Received) / seconds
	result.MemberBytes = float64(memberUsage.SentBytes+memberUsage.ReceivedBytes) / seconds
	result.MemberBusyPercent = 100 * memberUsage.Busy.Seconds() / seconds
	result.PlatformCalls = float64(sim.PlatformCalls()-calls) / seconds
	return result
}

// runWorkload runs hot-key requests and configuration changes for the observation time. It returns the longest time in which
// a change reached every host, in milliseconds. It waits for each change for at most 5 s.
func runWorkload(sim *simulation.Simulation, cfg configuration.Configuration, s size) float64 {
	end := sim.Now().Add(observationTime)
	nextChange := sim.Now()
	slowest := 0.0
	random := rand.New(rand.NewPCG(1, 1))
	for sim.Now().Before(end) {
		if s.changesPerMinute > 0 && !sim.Now().Before(nextChange) {
			nextChange = nextChange.Add(time.Minute / time.Duration(s.changesPerMinute))
			rank := cfg.Ranks[example.PatientRank]
			rank.Worth++
			cfg = cfg.With(rank).WithAcceptedChange(fmt.Sprintf("change-%d", cfg.Revision), "measure", sim.Now(), []string{"~ Rank/stock"})
			sim.Configure(cfg)
			began := sim.Now()
			sim.AdvanceUntil(5*time.Second, func() bool { return isApplied(sim, cfg.Revision) })
			slowest = max(slowest, float64(sim.Now().Sub(began))/float64(time.Millisecond))
		}
		for range s.hotKeys * hotKeyRate / 20 { // 20 steps of 50 ms per second
			key := fmt.Sprintf("hot-%d", random.IntN(s.hotKeys))
			host := sim.HostNames()[random.IntN(len(sim.HostNames()))]
			sim.Submit(host, request.Request{Service: example.Service, Key: key, Rank: example.MiddleRank, Caller: host}, 500*time.Millisecond)
		}
		sim.Advance(50 * time.Millisecond)
	}
	return slowest
}

// isApplied reports whether every host uses the configuration revision or a newer one.
func isApplied(sim *simulation.Simulation, revision int64) bool {
	for _, name := range sim.HostNames() {
		if sim.Host(name).Snapshot().Configuration.Revision < revision {
			return false
		}
	}
	return true
}

// leaderAndMember returns the leader's name and that of the last host that is not the leader.
func leaderAndMember(sim *simulation.Simulation) (leader, member string) {
	for _, name := range sim.HostNames() {
		if _, ok := sim.Host(name).Group().Leader(); ok {
			leader = name
		} else {
			member = name
		}
	}
	return leader, member
}

// measureMemory measures the heap size of a host's hash slots, hot keys, backend servers and request IDs at several
// counts.
func measureMemory() []memoryResult {
	var results []memoryResult
	measure := func(name string, counts []int, build func(n int) any) {
		for _, n := range counts {
			bytes := heapBytes(func() any { return build(n) })
			results = append(results, memoryResult{Item: name, Count: n, Bytes: bytes, BytesPerItem: float64(bytes) / float64(n)})
		}
	}
	measure("Slots", []int{1 << 10, 1 << 13, 1 << 16}, func(n int) any {
		a := assignment.Assignment{}.WithHashSlots(example.Service, n)
		return &a
	})
	measure("HotKeys", []int{50, 500, 5000}, func(n int) any {
		a := assignment.Assignment{}.WithHashSlots(example.Service, 256)
		for i := range n {
			hash := unit.HashKey(fmt.Sprint(i))
			a = a.WithOwner(unit.Unit{Service: example.Service, HashSlot: int(hash % 256), KeyHash: hash}, "inventario-1")
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
			m = m.WithStarted(id, unit.Unit{Service: example.Service, HashSlot: i % 256, KeyHash: uint64(i)}, time.Unix(int64(i), 0))
			m = m.WithOutcome(id, outcome.Answered{Status: 200, Body: []byte(`{"Lot":7}`)})
		}
		return &m
	})
	return results
}

// heapBytes returns the heap size of the value that build returns, in bytes.
func heapBytes(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// encode returns the JSON form of a configuration's resources.
func encode(c configuration.Configuration) []byte {
	text, err := configuration.FormatResources(c.Resources())
	if err != nil {
		panic(err)
	}
	return text
}
