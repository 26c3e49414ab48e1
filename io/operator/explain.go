package operator

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// explainKey tells where a key is served and why.
func (o *Operator) explainKey(w http.ResponseWriter, r *http.Request) {
	s := o.host.Snapshot()
	vars := mux.Vars(r)
	service, ok := s.Configuration.Services[vars["service"]]
	if !ok {
		writeError(w, http.StatusNotFound, "service", "no service "+vars["service"]+" is declared", nil)
		return
	}
	hash := unit.HashKey(vars["key"])
	home, slot := s.Configuration.HomeOf(service.Name, hash)
	server, generation := s.Assignment.OwnerOfHash(service.Name, hash)
	answer := keyAnswer{Service: service.Name, Key: vars["key"], Slot: slot, DataCentre: home, Owner: server,
		Generation: generation, Term: s.Assignment.Term, Version: s.Assignment.Version, Steward: s.View.Stewards[server],
		IsHotKey: s.Assignment.UnitOf(service.Name, hash).IsHotKey()}
	switch {
	case home != s.DataCentre:
		answer.Owner, answer.Steward = "", ""
		answer.Why = "the slot is at home in " + home + "; ask an entry host there for its owner"
	case server == "":
		answer.Why = "no backend server of the service is up in " + home
	case s.View.Down[server]:
		answer.Why = server + " is declared down; the slot moves once what it may run has ended"
	case answer.Steward == "":
		answer.Why = server + " owns the slot; its last steward is lost, and a new one waits for the old permit to end"
	case answer.IsHotKey:
		answer.Why = "the key was hot and has left its slot to even out the load"
	default:
		answer.Why = "the slot was given to " + server + " by the arbiter of term " + itoa(s.Assignment.Term)
	}
	writeJSON(w, http.StatusOK, answer)
}

// explainServer tells how a backend server stands.
func (o *Operator) explainServer(w http.ResponseWriter, r *http.Request) {
	s := o.host.Snapshot()
	name := mux.Vars(r)["server"]
	server, ok := s.Configuration.BackendServers[name]
	if !ok {
		writeError(w, http.StatusNotFound, "server", "no backend server "+name+" is declared", nil)
		return
	}
	answer := serverAnswer{Server: name, Service: server.Service, DataCentre: server.DataCentre, IsDown: s.View.Down[name],
		IsLeaving: s.View.Leaving[name], Steward: s.View.Stewards[name], Units: len(s.Assignment.UnitsOf(name))}
	if held, ok := o.host.Steward(name); ok {
		now := o.host.Now()
		p := held.Lease()
		l := held.Load()
		answer.Permit = &permitAnswer{Term: p.Grant.Term, Generation: p.Grant.Generation, IsValid: p.IsValid(now),
			EndsIn: max(0, p.Expiry.Sub(now)).Round(time.Millisecond).String()}
		answer.Running, answer.Waiting = l.Running, map[string]int{}
		for rank := range s.Configuration.Ranks {
			answer.Waiting[rank] = held.QueueLength(rank)
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

// explainRequest tells what the stewards of this host remember of a request id.
func (o *Operator) explainRequest(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	for name := range o.host.Snapshot().Configuration.BackendServers {
		held, ok := o.host.Steward(name)
		if !ok {
			continue
		}
		if entry, ok := held.DedupEntry(id); ok {
			writeJSON(w, http.StatusOK, requestAnswer{ID: id, Server: name, Unit: entry.Unit.String(), BeganAt: entry.StartedAt,
				Outcome: outcome.Name(entry.Outcome())})
			return
		}
	}
	writeError(w, http.StatusNotFound, "id", "no steward on this host remembers the request; ask the steward of its key", nil)
}

// status tells what this host has in force.
func (o *Operator) status(w http.ResponseWriter, _ *http.Request) {
	s := o.host.Snapshot()
	c := o.host.Cell()
	m := c.Member()
	now := o.host.Now()
	_, isArbiter := c.Arbiter()
	answer := statusAnswer{Host: s.Host, DataCentre: s.DataCentre, IsReady: s.IsReady, IsLeaving: s.IsLeaving,
		Revision: s.Configuration.Revision, AssignmentTerm: s.Assignment.Term, AssignmentVersion: s.Assignment.Version,
		Term: m.Term(), Arbiter: m.Arbiter(), IsArbiter: isArbiter, ViewVersion: s.View.Version}
	if !m.BeatAt().IsZero() {
		answer.ArbiterHeard = now.Sub(m.BeatAt()).Round(time.Millisecond).String()
	}
	for _, p := range m.Permits(now) {
		answer.Permits = append(answer.Permits, p.Server)
	}
	writeJSON(w, http.StatusOK, answer)
}
