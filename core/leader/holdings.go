package leader

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/release"
)

// endHoldings frees the backend servers whose steward is lost, once its permit has surely ended and a majority is
// known to have followed this arbiter since. Without the second, a later arbiter may have renewed the permit.
func (a Leader) endHoldings(now time.Time) Leader {
	since := a.Since(now)
	for _, server := range slices.Sorted(maps.Keys(a.holdings)) {
		h := a.holdings[server]
		if h.isFree() || a.holds(h, now) {
			continue
		}
		if !since.After(h.until) {
			if now.After(h.until) && now.Sub(a.peers[a.name].beatAt) >= a.timing.Beat/5 {
				a.changed, a.urgent = true, true
			}
			continue
		}
		h.host, h.heir, h.isReleased, h.isRefused = "", "", false, false
		a = a.withHolding(server, h)
	}
	return a
}

// holds reports whether the holder is alive, in the start that got the permit.
func (a Leader) holds(h holding, now time.Time) bool {
	return a.isLive(h.host, now) && a.peers[h.host].report.Incarnation == h.incarnation && !h.isRefused
}

// withRefusals marks the holdings that a member should have and reports without. It may have given them up to an
// earlier arbiter.
func (a Leader) withRefusals(r message.Report) Leader {
	for server, h := range a.holdings {
		isDue := h.sentRound > 0 && r.Round >= h.sentRound+refusalRounds
		if h.host != r.Member || h.incarnation != r.Incarnation || h.isRefused || !isDue || a.isOrdered(server) {
			continue
		}
		if !slices.ContainsFunc(r.Leases, func(p lease.Lease) bool { return p.Server == server }) {
			h.isRefused = true
			a = a.withHolding(server, h)
		}
	}
	return a
}

// appoint gives each backend server that is free a steward. One that no steward has released to this arbiter waits for
// the end of the permits of earlier arbiters.
func (a Leader) appoint(now time.Time) Leader {
	isPastOver := a.Since(now).After(a.permitsEnd)
	for _, server := range a.servers() {
		h := a.holdings[server.Name]
		if !h.isFree() || !isPastOver && !h.isReleased || a.down[server.Name] || a.leaving[server.Name] || a.isWritingMovesFrom(server.Name) {
			continue
		}
		host := h.heir
		if host == "" || !a.mayServe(host, now) {
			host = a.leastBurdened(now)
		}
		if host == "" {
			return a
		}
		a.generation++
		next := holding{host: host, incarnation: a.peers[host].report.Incarnation,
			grant: grant.Grant{Term: a.term, Generation: a.generation}, until: now}
		next.origin = next.grant
		next.idleSince = latest(h.until, a.permitsEnd)
		if h.isReleased {
			next.idleSince = h.idleSince
		}
		if host == h.heir {
			next.origin = h.origin
		}
		a = a.withHolding(server.Name, next)
		a.changed = true
	}
	return a
}

// mayServe reports whether a member may become a steward.
func (a Leader) mayServe(name string, now time.Time) bool {
	p := a.peers[name]
	return a.isLive(name, now) && !a.leaving[name] && !p.report.SentAt.IsZero()
}

// leastBurdened returns the member with the fewest backend servers, or "".
func (a Leader) leastBurdened(now time.Time) string {
	burdens := a.burdens()
	best := ""
	for _, name := range slices.Sorted(maps.Keys(a.peers)) {
		if a.mayServe(name, now) && (best == "" || burdens[name] < burdens[best]) {
			best = name
		}
	}
	return best
}

func (a Leader) burdens() map[string]int {
	burdens := map[string]int{}
	for _, h := range a.holdings {
		if !h.isFree() {
			burdens[h.host]++
		}
	}
	return burdens
}

// level orders releases of backend servers: of those declared down, of those whose steward is leaving, and one at a
// time of a steward that has more than its share.
func (a Leader) level(now time.Time) Leader {
	for _, server := range slices.Sorted(maps.Keys(a.holdings)) {
		h := a.holdings[server]
		switch {
		case h.isFree() || a.isOrdered(server):
		case a.down[server] || a.isOverdue(server, now):
			a = a.order(h.host, release.Release{Server: server, WholeServer: true})
		case a.leaving[h.host]:
			if heir := a.leastBurdened(now); heir != "" {
				a = a.order(h.host, release.Release{Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: heir})
			}
		}
	}
	return a.levelBurdens(now)
}

// isOverdue reports whether a backend server is leaving and its units could not be moved in time.
func (a Leader) isOverdue(server string, now time.Time) bool {
	since, ok := a.leavingSince[server]
	return ok && now.Sub(since) > leavingPatience
}

func (a Leader) levelBurdens(now time.Time) Leader {
	to := a.leastBurdened(now)
	if to == "" || a.hasWholeOrders() || a.plan != nil || now.Sub(a.movedAt) < a.timing.Silence {
		return a
	}
	burdens := a.burdens()
	from := ""
	for _, name := range slices.Sorted(maps.Keys(burdens)) {
		if a.isLive(name, now) && (from == "" || burdens[name] > burdens[from]) {
			from = name
		}
	}
	if from == "" || burdens[from]-burdens[to] < 2 {
		return a
	}
	for _, server := range slices.Sorted(maps.Keys(a.holdings)) {
		if a.holdings[server].host == from {
			a.movedAt = now
			return a.order(from, release.Release{Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: to})
		}
	}
	return a
}

func (a Leader) hasWholeOrders() bool {
	for _, o := range a.orders {
		if o.release.WholeServer {
			return true
		}
	}
	return false
}

// isOrdered reports whether a release of the whole server is under way.
func (a Leader) isOrdered(server string) bool {
	for _, o := range a.orders {
		if o.release.WholeServer && o.release.Server == server {
			return true
		}
	}
	return false
}

// order gives an order of release to a host.
func (a Leader) order(host string, r release.Release) Leader {
	a.orderID++
	r.ID, r.Term, r.Version = a.orderID, a.assignment.Term, a.assignment.Version
	if r.WholeServer {
		r.Grant = a.holdings[r.Server].grant
	}
	a.orders = maps.Clone(a.orders)
	a.orders[r.ID] = order{release: r, host: host}
	a.changed = true
	return a
}

// dropOrders forgets the orders given to hosts that no longer hold the server.
func (a Leader) dropOrders() Leader {
	for id, o := range a.orders {
		if a.holdings[o.release.Server].host != o.host {
			a.orders = maps.Clone(a.orders)
			delete(a.orders, id)
		}
	}
	return a
}

// released takes in the orders that a member has carried out.
func (a Leader) released(r message.Report, now time.Time) Leader {
	for _, id := range r.CompletedReleases {
		o, ok := a.orders[id]
		if !ok || o.host != r.Member || o.isDone {
			continue
		}
		a.orders = maps.Clone(a.orders)
		if !o.release.WholeServer {
			o.isDone = true
			a.orders[id] = o
			continue
		}
		delete(a.orders, id)
		h := a.holdings[o.release.Server]
		if h.host != r.Member || h.incarnation != r.Incarnation {
			continue
		}
		h.host, h.heir, h.isReleased, h.idleSince = "", "", true, now
		if slices.Contains(r.AdoptedReleases, id) {
			h.heir = o.release.SuccessorHost
		}
		a = a.withHolding(o.release.Server, h).appoint(now)
	}
	return a
}
