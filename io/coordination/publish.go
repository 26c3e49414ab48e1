package coordination

import (
	"slices"

	"redwingsill/core/keyrange"
)

// publish passes the owners of all sharded services to the slot server if they have changed: those in the coordinator's
// state on the host that manages the service, else those read from the store.
func (c *Coordination) publish() {
	for name, s := range c.routing.Read().Services {
		if !s.IsSharded {
			continue
		}
		keys := c.registry.Owners(name)
		var moving []keyrange.Range
		if service, ok := c.services[name]; ok && service.isLoaded {
			keys, moving = service.state.Keys(), service.state.Unserved()
		}
		previous, ok := c.published[name]
		if ok && slices.Equal(previous.holdings, keys.Holdings()) && slices.Equal(previous.moving, moving) {
			continue
		}
		c.published[name] = publishedKeys{holdings: keys.Holdings(), moving: moving}
		c.slotServer.SetKeys(name, keys, moving)
	}
}
