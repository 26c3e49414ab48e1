package ownership

import "redwingsill/core/simulation"

// trial is a cell in one measurement.
type trial struct {
	*simulation.Simulation
}

func (c *trial) arbiter() string {
	for _, name := range c.Names() {
		if _, ok := c.Host(name).Group().Leader(); ok {
			return name
		}
	}
	return c.Names()[0]
}

// follower returns a host that is not the arbiter and holds a server.
func (c *trial) follower() string {
	for _, name := range c.Names() {
		member := c.Host(name).Group().Member()
		if name != c.arbiter() && len(member.Leases(c.Now())) > 0 {
			return name
		}
	}
	return c.Names()[0]
}

func (c *trial) cutOff(name string) {
	for _, other := range c.Names() {
		if other != name {
			c.Cut(name, other, true)
		}
	}
}
