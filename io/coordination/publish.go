package coordination

import (
	"slices"

	"redwingsill/core/keyrange"
)

// publish tells the desk who owns which keys: where this host decides by its own state, else by what the store says.
func (c *Coordination) publish() {
	for name, s := range c.routing.Read().Services {
		if !s.IsSharded {
			continue
		}
		keys := c.registry.Owners(name)
		var moving []keyrange.Range
		if d, ok := c.services[name]; ok && d.isLoaded {
			keys, moving = d.state.Keys(), d.state.Unserved()
		}
		old, ok := c.published[name]
		if ok && slices.Equal(old.holdings, keys.Holdings()) && slices.Equal(old.moving, moving) {
			continue
		}
		c.published[name] = publication{holdings: keys.Holdings(), moving: moving}
		c.desk.SetKeys(name, keys, moving)
	}
}
