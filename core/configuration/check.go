package configuration

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"redwingsill/core/kind"
	"redwingsill/core/problem"
	"redwingsill/core/resource"
)

const (
	maxServiceHashSlots = 65536   // hash slots of one service
	maxBodyBytes        = 8 << 20 // body of one request, 8 MiB
	maxServerSlots      = 1024    // concurrent requests of one backend server
	maxHotKeys          = 1000    // hot keys of one service in one data centre
	// nameRule describes namePattern in error messages.
	nameRule = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9.-]{0,62}$`)

// Check returns nil, or an [*Error] of kind Invalid that lists all invalid fields.
func (c Configuration) Check() error {
	var problems []problem.Problem
	for _, r := range c.Resources() {
		problems = append(problems, c.checkResource(r)...)
	}
	problems = append(problems, c.checkRanks()...)
	problems = append(problems, c.checkHomes()...)
	if len(problems) > 0 {
		return newError("check", kind.Invalid, problems...)
	}
	return nil
}

func (c Configuration) checkResource(r resource.Resource) []problem.Problem {
	path := resource.KindOf(r) + "/" + r.ResourceName()
	var found []problem.Problem
	require := func(ok bool, field string, given any, allowed string) {
		if !ok {
			found = append(found, problem.New(path+"."+field, given, allowed))
		}
	}
	require(namePattern.MatchString(r.ResourceName()), "Name", r.ResourceName(), nameRule)
	switch r := r.(type) {
	case resource.DataCentre:
		require(len(r.EntryHosts) > 0, "EntryHosts", r.EntryHosts, "at least one name")
		for i, host := range r.EntryHosts {
			require(namePattern.MatchString(host), fmt.Sprintf("EntryHosts[%d]", i), host, nameRule)
			require(slices.Index(r.EntryHosts, host) == i, fmt.Sprintf("EntryHosts[%d]", i), host, "each name once")
		}
	case resource.Service:
		require(r.Slots >= 1 && r.Slots <= maxServiceHashSlots, "Slots", r.Slots, fmt.Sprintf("1 to %d", maxServiceHashSlots))
		require(r.MaxBodyBytes >= 0 && r.MaxBodyBytes <= maxBodyBytes, "MaxBodyBytes", r.MaxBodyBytes,
			fmt.Sprintf("0 to %d", maxBodyBytes))
		require(r.MaxAttempt > 0, "MaxAttempt", r.MaxAttempt, `more than "0s"`)
	case resource.BackendServer:
		_, hasService := c.Services[r.Service]
		require(hasService, "Service", r.Service, "the name of a declared Service")
		_, hasCentre := c.DataCentres[r.DataCentre]
		require(hasCentre, "DataCentre", r.DataCentre, "the name of a declared DataCentre")
		_, err := netip.ParseAddrPort(r.Address)
		require(err == nil, "Address", r.Address, "an IP number and port, as 127.0.0.1:9000")
		require(r.Slots >= 1 && r.Slots <= maxServerSlots, "Slots", r.Slots, fmt.Sprintf("1 to %d", maxServerSlots))
		require(r.Connections >= r.Slots, "Connections", r.Connections, "at least Slots")
	case resource.Rank:
		require(r.Urgency >= 0, "Urgency", r.Urgency, "0 or more; 0 is the most urgent")
		require(r.Target > 0, "Target", r.Target, `more than "0s"`)
		require(r.Worth >= 0, "Worth", r.Worth, "0 or more")
		require(r.Floor >= 0 && r.Floor < 1, "Floor", r.Floor, "0 to less than 1")
		require(r.QueueLimit >= 1, "QueueLimit", r.QueueLimit, "1 or more")
	case resource.OwnershipPolicy:
		_, hasService := c.Services[r.Service]
		require(hasService, "Service", r.Service, "the name of a declared Service")
		require(r.HotKeys >= 0 && r.HotKeys <= maxHotKeys, "HotKeys", r.HotKeys, fmt.Sprintf("0 to %d", maxHotKeys))
		require(r.MaxMoves >= 0, "MaxMoves", r.MaxMoves, "0 or more")
	}
	return found
}

func (c Configuration) checkRanks() []problem.Problem {
	var found []problem.Problem
	sum, defaults := 0.0, 0
	urgencies := map[int]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Ranks)) {
		r := c.Ranks[name]
		sum += r.Floor
		if r.Default {
			defaults++
		}
		if other, taken := urgencies[r.Urgency]; taken {
			found = append(found, problem.New("Rank/"+name+".Urgency", r.Urgency, "not that of Rank/"+other))
		}
		urgencies[r.Urgency] = name
	}
	if sum >= 1 {
		found = append(found, problem.New("Rank/*.Floor", sum, "a sum below 1"))
	}
	if len(c.Ranks) > 0 && defaults != 1 {
		found = append(found, problem.New("Rank/*.Default", defaults, "exactly one rank with Default true"))
	}
	return found
}

// checkHomes reports the data centres that are home to hash slots of a service but have no backend server of that
// service.
func (c Configuration) checkHomes() []problem.Problem {
	var found []problem.Problem
	for _, service := range slices.Sorted(maps.Keys(c.Homes)) {
		for _, centre := range slices.Compact(slices.Sorted(slices.Values(c.Homes[service]))) {
			if len(c.ServersOf(service, centre)) == 0 {
				found = append(found, problem.New("Service/"+service, "no backend server in "+centre,
					"at least one in each data centre that is home to some of its slots"))
			}
		}
	}
	return found
}
