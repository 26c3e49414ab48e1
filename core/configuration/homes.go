package configuration

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// WithHomes returns the configuration with a home data centre for each hash slot of each service that has backend
// servers. Only backend servers in its home may own a hash slot. A service whose hash slots all have homes keeps them;
// otherwise rendezvous hashing spreads the hash slots over the backend servers, so that a data centre's share is
// proportional to its number of servers.
func (c Configuration) WithHomes() Configuration {
	for name, service := range c.Services {
		homes := c.Homes[name]
		servers := c.ServersOf(name, "")
		if len(homes) == service.Slots || len(servers) == 0 {
			continue
		}
		next := make([]string, service.Slots)
		for hashSlot := range next {
			best := uint64(0)
			for _, server := range servers {
				score := xxhash.Sum64String(name + "/" + strconv.Itoa(hashSlot) + "/" + server.Name)
				if next[hashSlot] == "" || score > best {
					best, next[hashSlot] = score, server.DataCentre
				}
			}
		}
		c.Homes = withEntry(c.Homes, name, next)
	}
	return c
}

// HomeOf returns the home data centre of the hash slot that a hash maps to, and the hash slot. The data centre is empty
// if the hash slots of the service have no homes.
func (c Configuration) HomeOf(service string, hash uint64) (string, int) {
	homes := c.Homes[service]
	if len(homes) == 0 {
		return "", 0
	}
	hashSlot := int(hash % uint64(len(homes)))
	return homes[hashSlot], hashSlot
}
