package ownership

// fault is something that is done to a cell that serves every unit.
type fault struct {
	name string
	act  func(c *trial)
	// isLoss says that a server's units have to move.
	isLoss bool
}

var faults = []fault{
	{name: "EntryHostKilled", act: func(c *trial) { c.KillHost(c.follower()) }},
	{name: "ArbiterKilled", act: func(c *trial) { c.KillHost(c.arbiter()) }},
	{name: "ArbiterPaused", act: func(c *trial) { c.PauseHost(c.arbiter()) }},
	{name: "ArbiterCutFromPlatform", act: func(c *trial) { c.Cut(c.arbiter(), "platform", true) }},
	{name: "ArbiterCutFromHosts", act: func(c *trial) { c.cutOff(c.arbiter()) }},
	{name: "EntryHostCutFromHosts", act: func(c *trial) { c.cutOff(c.follower()) }},
	{name: "EntryHostLeaves", act: func(c *trial) { c.LeaveHost(c.follower()) }},
	{name: "ArbiterLeaves", act: func(c *trial) { c.LeaveHost(c.arbiter()) }},
	{name: "PlatformDown", act: func(c *trial) { c.SetPlatform(true, false) }},
	{name: "PlatformLosesAnswers", act: func(c *trial) { c.SetPlatform(false, true) }},
	{name: "PlatformDownAndEntryHostKilled", act: func(c *trial) { c.SetPlatform(true, false); c.KillHost(c.follower()) }},
	{name: "PlatformDownAndArbiterKilled", act: func(c *trial) { c.SetPlatform(true, false); c.KillHost(c.arbiter()) }},
	{name: "TwoEntryHostsKilled", act: func(c *trial) { c.KillHost(c.arbiter()); c.KillHost(c.follower()) }},
	{name: "AllEntryHostsReplaced", act: replaceAll},
	{name: "ServerDown", isLoss: true, act: func(c *trial) { c.SetDown(lostServer) }},
	{name: "ServerLeaves", isLoss: true, act: func(c *trial) { c.SetLeaving(lostServer, true) }},
	{name: "ServerDownAndStewardKilled", isLoss: true, act: func(c *trial) {
		c.SetDown(lostServer)
		c.KillHost(c.Host(c.Names()[0]).Snapshot().View.LeaseHolders[lostServer])
	}},
	{name: "ServerDownAndPlatformDown", isLoss: true, act: func(c *trial) { c.SetDown(lostServer); c.SetPlatform(true, false) }},
}

const lostServer = "inventario-1"

func replaceAll(c *trial) {
	for _, name := range c.Names() {
		c.KillHost(name)
		c.StartHost(name)
	}
}
