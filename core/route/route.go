// Package route decides where a request goes next.
package route

import (
	"redwingsill/core/request"
	"redwingsill/core/snapshot"
)

// Route is where a request goes. The variants are [Local], [Peer] and [Nowhere].
//
//sumtype:decl
type Route interface {
	route()
}

// Choose returns where a request goes by a snapshot. Server names the backend server that an earlier hop chose, or is
// empty. The function load returns the newest known work for each slot of a backend server, and isLost tells entry hosts
// that could not be reached lately. Seed is any number that differs from request to request.
func Choose(s *snapshot.Snapshot, r request.Request, server string, hops int, load func(server string) float64,
	isLost func(host string) bool, seed uint64) Route {
	if server == "" {
		if hash := r.Hash(); hash != 0 {
			centre, _ := s.Configuration.HomeOf(r.Service, hash)
			if centre != s.DataCentre {
				return abroad(s, centre, hops, isLost, seed)
			}
			server, _ = s.Assignment.OwnerOfHash(r.Service, hash)
		} else {
			server = leastLoaded(s, r.Service, load, seed)
			if server == "" {
				return abroad(s, centreWith(s, r.Service, seed), hops, isLost, seed)
			}
		}
	}
	return withinCell(s, server, hops)
}

func withinCell(s *snapshot.Snapshot, server string, hops int) Route {
	host := s.View.Stewards[server]
	switch {
	case server == "":
		return Nowhere{Reason: "the key has no owner at present"}
	case host == "":
		return Nowhere{Reason: "the owner " + server + " has no steward at present"}
	case host == s.Host:
		return Local{Server: server}
	case hops >= MaxHops:
		return Nowhere{Reason: "the request has passed too many entry hosts"}
	}
	return Peer{Host: host, Server: server}
}

func abroad(s *snapshot.Snapshot, centre string, hops int, isLost func(string) bool, seed uint64) Route {
	hosts := s.Peers[centre]
	switch {
	case hops > 0:
		return Nowhere{Reason: "the request came to a data centre that is not its key's"}
	case len(hosts) == 0:
		return Nowhere{Reason: "no entry host of the key's data centre is known"}
	}
	for i := range hosts {
		host := hosts[(seed+uint64(i))%uint64(len(hosts))]
		if !isLost(host) {
			return Peer{Host: host}
		}
	}
	return Peer{Host: hosts[seed%uint64(len(hosts))]}
}

// leastLoaded returns the less loaded of two backend servers drawn by the seed, or "".
func leastLoaded(s *snapshot.Snapshot, service string, load func(string) float64, seed uint64) string {
	servers := s.ServersByService[service]
	if len(servers) == 0 {
		return ""
	}
	n := uint64(len(servers))
	a, b := servers[seed%n], servers[(seed%n+1+(seed>>32)%max(1, n-1))%n]
	if load(b) < load(a) {
		return b
	}
	return a
}

// centreWith returns another data centre that has backend servers of the service.
func centreWith(s *snapshot.Snapshot, service string, seed uint64) string {
	var centres []string
	for _, b := range s.Configuration.ServersOf(service, "") {
		if b.DataCentre != s.DataCentre && (len(centres) == 0 || centres[len(centres)-1] != b.DataCentre) {
			centres = append(centres, b.DataCentre)
		}
	}
	if len(centres) == 0 {
		return ""
	}
	return centres[seed%uint64(len(centres))]
}
