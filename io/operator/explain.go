package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// explainKey reports which backend server owns a key and why.
func (a *API) explainKey(w http.ResponseWriter, r *http.Request) {
	s := a.host.Snapshot()
	vars := mux.Vars(r)
	service, ok := s.Configuration.Services[vars["service"]]
	if !ok {
		writeErrorBody(w, http.StatusNotFound, "service", "no service "+vars["service"]+" is declared", nil)
		return
	}
	hash := unit.HashKey(vars["key"])
	home, hashSlot := s.Configuration.HomeOf(service.Name, hash)
	server, generation := s.Assignment.OwnerOfHash(service.Name, hash)
	explanation := keyExplanation{Service: service.Name, Key: vars["key"], HashSlot: hashSlot, DataCentre: home, Owner: server,
		Generation: generation, Term: s.Assignment.Term, Version: s.Assignment.Version, LeaseHolder: s.View.LeaseHolders[server],
		IsHotKey: s.Assignment.UnitOf(service.Name, hash).IsHotKey()}
	// The texts of this file are sent to operators and keep older terms: steward for lease holder, permit for lease and
	// arbiter for leader.
	switch {
	case home != s.DataCentre:
		explanation.Owner, explanation.LeaseHolder = "", ""
		explanation.Reason = "the slot is at home in " + home + "; ask an entry host there for its owner"
	case server == "":
		explanation.Reason = "no backend server of the service is up in " + home
	case s.View.Down[server]:
		explanation.Reason = server + " is declared down; the slot moves once what it may run has ended"
	case explanation.LeaseHolder == "":
		explanation.Reason = server + " owns the slot; its last steward is lost, and a new one waits for the old permit to end"
	case explanation.IsHotKey:
		explanation.Reason = "the key was hot and has left its slot to even out the load"
	default:
		explanation.Reason = "the slot was given to " + server + " by the arbiter of term " + formatInt(s.Assignment.Term)
	}
	writeJSON(w, http.StatusOK, explanation)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// explainServer reports the state of a backend server as this host knows it.
func (a *API) explainServer(w http.ResponseWriter, r *http.Request) {
	s := a.host.Snapshot()
	name := mux.Vars(r)["server"]
	server, ok := s.Configuration.BackendServers[name]
	if !ok {
		writeErrorBody(w, http.StatusNotFound, "server", "no backend server "+name+" is declared", nil)
		return
	}
	explanation := serverExplanation{Server: name, Service: server.Service, DataCentre: server.DataCentre, IsDown: s.View.Down[name],
		IsLeaving: s.View.Leaving[name], LeaseHolder: s.View.LeaseHolders[name], Units: len(s.Assignment.UnitsOf(name))}
	if holder, ok := a.host.LeaseHolder(name); ok {
		now := a.host.Now()
		lease := holder.Lease()
		load := holder.Load()
		explanation.Lease = &leaseStatus{Term: lease.Grant.Term, Generation: lease.Grant.Generation, IsValid: lease.IsValid(now),
			ExpiresIn: max(0, lease.Expiry.Sub(now)).Round(time.Millisecond).String()}
		explanation.Running, explanation.Waiting = load.Running, map[string]int{}
		for rank := range s.Configuration.Ranks {
			explanation.Waiting[rank] = holder.QueueLength(rank)
		}
	}
	writeJSON(w, http.StatusOK, explanation)
}

// explainRequest responds with the dedup entry of a request ID, or with 404 if no lease holder on this host has
// one.
func (a *API) explainRequest(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	for name := range a.host.Snapshot().Configuration.BackendServers {
		holder, ok := a.host.LeaseHolder(name)
		if !ok {
			continue
		}
		if entry, ok := holder.DedupEntry(id); ok {
			writeJSON(w, http.StatusOK, requestExplanation{ID: id, Server: name, Unit: entry.Unit.String(), StartedAt: entry.StartedAt,
				Outcome: outcome.Name(entry.Outcome())})
			return
		}
	}
	writeErrorBody(w, http.StatusNotFound, "id", "no steward on this host remembers the request; ask the steward of its key", nil)
}

// getStatus reports the state of this host, and which leader it follows.
func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	s := a.host.Snapshot()
	group := a.host.Group()
	member := group.Member()
	now := a.host.Now()
	_, isLeader := group.Leader()
	status := statusResponse{Host: s.Host, DataCentre: s.DataCentre, IsReady: s.IsReady, IsLeaving: s.IsLeaving,
		Revision: s.Configuration.Revision, AssignmentTerm: s.Assignment.Term, AssignmentVersion: s.Assignment.Version,
		Term: member.Term(), Leader: member.Leader(), IsLeader: isLeader, ViewVersion: s.View.Version}
	if !member.HeartbeatAt().IsZero() {
		status.LeaderHeartbeatAge = now.Sub(member.HeartbeatAt()).Round(time.Millisecond).String()
	}
	for _, lease := range member.Leases(now) {
		status.LeasedServers = append(status.LeasedServers, lease.Server)
	}
	writeJSON(w, http.StatusOK, status)
}
