// Package route chooses the next hop of a request.
package route

import (
	"redwingsill/core/request"
	"redwingsill/core/snapshot"
)

// Route is the next hop of a request. The variants are [Local], [Peer] and [Unroutable].
//
//sumtype:decl
type Route interface {
	route()
}

// Choose returns the route of a request. The parameter server is the backend server that an earlier hop chose, or empty,
// and hops is the number of entry hosts that have forwarded the request. The function load returns the last known
// requests per slot of a backend server, and isUnreachable reports whether an entry host recently could not be reached.
// Requests need different seeds, which spread them over servers and hosts.
func Choose(s *snapshot.Snapshot, r request.Request, server string, hops int, load func(server string) float64,
	isUnreachable func(host string) bool, seed uint64) Route {
	if server == "" {
		if hash := r.Hash(); hash != 0 {
			dataCentre, _ := s.Configuration.HomeOf(r.Service, hash)
			if dataCentre != s.DataCentre {
				return routeToDataCentre(s, dataCentre, hops, isUnreachable, seed)
			}
			server, _ = s.Assignment.OwnerOfHash(r.Service, hash)
		} else {
			server = lessLoaded(s, r.Service, load, seed)
			if server == "" {
				return routeToDataCentre(s, remoteDataCentre(s, r.Service, seed), hops, isUnreachable, seed)
			}
		}
	}
	return routeToServer(s, server, hops)
}

// routeToServer returns the route to the lease holder of a backend server.
func routeToServer(s *snapshot.Snapshot, server string, hops int) Route {
	host := s.View.LeaseHolders[server]
	switch {
	case server == "":
		return Unroutable{Reason: "the key has no owner at present"}
	case host == "":
		// The text is sent to callers and keeps the older term steward for the lease holder.
		return Unroutable{Reason: "the owner " + server + " has no steward at present"}
	case host == s.Host:
		return Local{Server: server}
	case hops >= MaxHops:
		return Unroutable{Reason: "the request has passed too many entry hosts"}
	}
	return Peer{Host: host, Server: server}
}

// routeToDataCentre returns the route to an entry host of another data centre, preferably one that is reachable. A
// request that was already forwarded is unroutable: the host that forwarded it has another configuration, or this data
// centre has no available backend server for it.
func routeToDataCentre(s *snapshot.Snapshot, dataCentre string, hops int, isUnreachable func(string) bool, seed uint64) Route {
	hosts := s.Peers[dataCentre]
	switch {
	case hops > 0:
		return Unroutable{Reason: "the request came to a data centre that is not its key's"}
	case len(hosts) == 0:
		return Unroutable{Reason: "no entry host of the key's data centre is known"}
	}
	for i := range hosts {
		host := hosts[(seed+uint64(i))%uint64(len(hosts))]
		if !isUnreachable(host) {
			return Peer{Host: host}
		}
	}
	return Peer{Host: hosts[seed%uint64(len(hosts))]}
}

// lessLoaded returns the less loaded of two backend servers of the service in this data centre, chosen by the seed, or ""
// if none is available.
func lessLoaded(s *snapshot.Snapshot, service string, load func(string) float64, seed uint64) string {
	servers := s.ServersByService[service]
	if len(servers) == 0 {
		return ""
	}
	n := uint64(len(servers))
	// If there are several servers, b differs from a.
	a, b := servers[seed%n], servers[(seed%n+1+(seed>>32)%max(1, n-1))%n]
	if load(b) < load(a) {
		return b
	}
	return a
}

// remoteDataCentre returns another data centre that has backend servers of the service, chosen by the seed, or "" if there
// is none.
func remoteDataCentre(s *snapshot.Snapshot, service string, seed uint64) string {
	var dataCentres []string
	for _, b := range s.Configuration.ServersOf(service, "") {
		if b.DataCentre != s.DataCentre && (len(dataCentres) == 0 || dataCentres[len(dataCentres)-1] != b.DataCentre) {
			dataCentres = append(dataCentres, b.DataCentre)
		}
	}
	if len(dataCentres) == 0 {
		return ""
	}
	return dataCentres[seed%uint64(len(dataCentres))]
}
