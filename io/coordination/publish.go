package coordination

import (
	"slices"

	"redwingsill/core/keyrange"
)

// publish passes the owners and the unserved key ranges of each sharded service to the slot server if they have
// changed. The host that manages the service takes them from its state; the others take the owners from the store.
func (c *Coordination) publish() {
	for name, s := range c.routing.Read().Services {
		if !s.IsSharded {
			continue
		}
		keys := c.registry.Owners(name)
		var unserved []keyrange.Range
		if service, ok := c.services[name]; ok && service.isLoaded {
			keys, unserved = service.state.Keys(), service.state.Unserved()
		}
		previous, ok := c.published[name]
		if ok && slices.Equal(previous.holdings, keys.Holdings()) && slices.Equal(previous.unserved, unserved) {
			continue
		}
		c.published[name] = publishedKeys{holdings: keys.Holdings(), unserved: unserved}
		c.slotServer.SetKeys(name, keys, unserved)
	}
}
