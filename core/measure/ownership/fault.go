package ownership

// fault is a failure or shutdown that is injected into a group of hosts while all its units, the hash slots of its services,
// are served.
type fault struct {
	name   string
	inject func(t *trial)
	// movesUnits marks faults that remove a backend server, so that its units must move.
	movesUnits bool
}

// faults are the faults that [Benchmark.Run] measures. In the names that are printed, the arbiter is the leader, and the
// steward of a server is its lease holder.
var faults = []fault{
	{name: "EntryHostKilled", inject: func(t *trial) { t.KillHost(t.follower()) }},
	{name: "ArbiterKilled", inject: func(t *trial) { t.KillHost(t.leader()) }},
	{name: "ArbiterPaused", inject: func(t *trial) { t.PauseHost(t.leader()) }},
	{name: "ArbiterCutFromPlatform", inject: func(t *trial) { t.SetPartitioned(t.leader(), "platform", true) }},
	{name: "ArbiterCutFromHosts", inject: func(t *trial) { t.isolate(t.leader()) }},
	{name: "EntryHostCutFromHosts", inject: func(t *trial) { t.isolate(t.follower()) }},
	{name: "EntryHostLeaves", inject: func(t *trial) { t.ShutDownHost(t.follower()) }},
	{name: "ArbiterLeaves", inject: func(t *trial) { t.ShutDownHost(t.leader()) }},
	{name: "PlatformDown", inject: func(t *trial) { t.SetPlatformFaults(true, false) }},
	{name: "PlatformLosesAnswers", inject: func(t *trial) { t.SetPlatformFaults(false, true) }},
	{name: "PlatformDownAndEntryHostKilled", inject: func(t *trial) { t.SetPlatformFaults(true, false); t.KillHost(t.follower()) }},
	{name: "PlatformDownAndArbiterKilled", inject: func(t *trial) { t.SetPlatformFaults(true, false); t.KillHost(t.leader()) }},
	{name: "TwoEntryHostsKilled", inject: func(t *trial) { t.KillHost(t.leader()); t.KillHost(t.follower()) }},
	{name: "AllEntryHostsReplaced", inject: replaceAllHosts},
	{name: "ServerDown", movesUnits: true, inject: func(t *trial) { t.SetDownServers(failedServer) }},
	{name: "ServerLeaves", movesUnits: true, inject: func(t *trial) { t.SetLeaving(failedServer, true) }},
	{name: "ServerDownAndStewardKilled", movesUnits: true, inject: func(t *trial) {
		t.SetDownServers(failedServer)
		t.KillHost(t.Host(t.HostNames()[0]).Snapshot().View.LeaseHolders[failedServer])
	}},
	{name: "ServerDownAndPlatformDown", movesUnits: true, inject: func(t *trial) { t.SetDownServers(failedServer); t.SetPlatformFaults(true, false) }},
}

// failedServer is the backend server that the faults with movesUnits remove.
const failedServer = "inventario-1"

// replaceAllHosts kills and restarts one host after the other, all at the same virtual time.
func replaceAllHosts(t *trial) {
	for _, name := range t.HostNames() {
		t.KillHost(name)
		t.StartHost(name)
	}
}
