// Package group combines the roles of an entry host in its group. Every host is a member, and at times also a candidate
// or the leader.
package group

import (
	"time"

	"redwingsill/core/candidate"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/leader"
	"redwingsill/core/member"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
)

const (
	// maxDelayDoublings is the number of bootstrap attempts after which the delay between them no longer doubles.
	maxDelayDoublings = 5
	// maxBootstrapDelay is the longest delay between two bootstrap attempts.
	maxBootstrapDelay = 8 * time.Second
	// attemptsPerHostList is the number of bootstrap attempts per request for the list of hosts, once the host knows a
	// list.
	attemptsPerHostList = 2
)

// Group is the state of a host's roles in its group. It is immutable.
type Group struct {
	name       string
	dataCentre string
	// incarnation identifies the start of the host's process.
	incarnation int64
	timing      timing.Timing
	member      member.Member
	// candidate handles events only while the host is not the leader.
	candidate candidate.Candidate
	// leader is nil while the host is not the leader.
	leader *leader.Leader
	// steppedAt is the time of the newest event. A gap of more than one lease duration shows that the process was
	// paused.
	steppedAt time.Time
	// hosts gives the entry hosts by name, as this host has read them from the platform, for use until a view lists
	// them.
	hosts map[string]hostentry.HostEntry
	// publishedVersions are the versions in the newest snapshot published.
	publishedVersions versions.Versions
	// isPublished is set if a snapshot has been published and isLeaving has not changed since.
	isPublished bool
	// isLeaving is set once the host has been asked to drain and stop.
	isLeaving bool
	// callID is the ID of the newest read of the configuration. It is negative, unlike the IDs of the leader's and the
	// candidate's calls.
	callID int64
	// bootstrapAttempts is the number of bootstrap attempts since the leader was lost.
	bootstrapAttempts int
	// nextBootstrapAt is when the next bootstrap attempt is due.
	nextBootstrapAt time.Time
}

// New returns the roles of a host that has just started. The incarnation must be higher at each start of the same host,
// because a leader ignores reports of a lower incarnation than the latest one that it knows.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Group {
	return Group{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		member:    member.New(name, incarnation, t, now),
		candidate: candidate.New(name, dataCentre, incarnation, t, now),
		steppedAt: now,
		callID:    -now.UnixNano(),
	}
}

// Member returns the host's role as a member.
func (g Group) Member() member.Member { return g.member }

// Leader returns the host's role as the leader, and whether it is the leader.
func (g Group) Leader() (leader.Leader, bool) {
	if g.leader == nil {
		return leader.Leader{}, false
	}
	return *g.leader, true
}

// Hosts returns the known entry hosts by name.
func (g Group) Hosts() map[string]hostentry.HostEntry {
	if hosts := g.member.View().Hosts; len(hosts) > 0 {
		return hosts
	}
	return g.hosts
}

// Snapshot returns the state by which the host routes requests.
func (g Group) Snapshot() snapshot.Snapshot {
	m := g.member
	_, declared := m.Configuration().DataCentres[g.dataCentre]
	return snapshot.New(g.name, g.dataCentre, m.Configuration(), m.Assignment(), m.View()).
		WithState(declared && m.View().Term > 0 && !g.isLeaving, g.isLeaving)
}

// Step returns the host's roles after an event and the resulting effects. Messages to the host itself and events for
// its member role are handled at once.
func (g Group) Step(e event.Event, now time.Time) (Group, []effect.Effect) {
	if now.Sub(g.steppedAt) > g.timing.LeaseDuration {
		g = g.afterPause(now)
	}
	g.steppedAt = now
	var effects []effect.Effect
	queue := []event.Event{e}
	for len(queue) > 0 {
		var raised []effect.Effect
		g, raised = g.stepRoles(queue[0], now)
		queue = queue[1:]
		for _, r := range raised {
			if s, ok := r.(effect.Send); ok && s.To == g.name {
				queue = append(queue, event.MessageReceived{From: g.name, Message: s.Message})
			} else if notification, ok := r.(effect.NotifyMember); ok {
				queue = append(queue, notification.Event)
			} else {
				effects = append(effects, r)
			}
		}
	}
	g, published := g.publish()
	return g, append(effects, published...)
}

// WithHandover starts a handover of dedup entries for a lease holder on this host and returns the resulting effects.
func (g Group) WithHandover(e effect.HandOver, now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	g.member, effects = g.member.WithHandover(e, now)
	if s, ok := effects[0].(effect.Send); ok && s.To == g.name {
		return g.Step(event.MessageReceived{From: g.name, Message: s.Message}, now)
	}
	return g, effects
}

// stepRoles passes an event to each role in turn. A candidate that has won the election becomes the leader, and a leader
// that has resigned is replaced by a new candidate.
func (g Group) stepRoles(e event.Event, now time.Time) (Group, []effect.Effect) {
	g, effects := g.stepShared(e, now)
	var more []effect.Effect
	g.member, more = g.member.Step(e, now)
	effects = append(effects, more...)
	if g.leader != nil {
		next, more := g.leader.Step(e, g.member, now)
		effects = append(effects, more...)
		g.leader = &next
		if next.HasResigned() {
			g.leader = nil
			g.candidate = g.newCandidate(now)
		}
		return g, effects
	}
	g.candidate, more = g.candidate.Step(e, g.member, now)
	effects = append(effects, more...)
	if result, ok := g.candidate.Result(now); ok && result.Term == g.member.Term() && !g.isLeaving {
		next := leader.New(g.name, g.dataCentre, g.incarnation, g.timing, result, g.member, now)
		next, more = next.Step(event.Ticked{}, g.member, now)
		effects = append(effects, more...)
		g.leader = &next
	}
	return g, effects
}

// stepShared handles what belongs to no role: leaving, the list of hosts and the first configuration.
func (g Group) stepShared(e event.Event, now time.Time) (Group, []effect.Effect) {
	switch e := e.(type) {
	case event.LeaveRequested:
		g.isLeaving = true
		g.isPublished = false
	case event.HostsListed:
		g.hosts = map[string]hostentry.HostEntry{}
		for _, h := range e.Hosts {
			if h.Address != "" {
				g.hosts[h.Name] = h
			}
		}
	case event.KeyRead:
		if e.ID == g.callID && g.callID < 0 {
			if next, err := configuration.Parse(e.Value); err == nil {
				g.member = g.member.WithConfiguration(next)
			}
		}
	case event.Ticked:
		return g.bootstrap(now)
	default:
	}
	return g, nil
}

// publish publishes a snapshot if something in it has changed.
func (g Group) publish() (Group, []effect.Effect) {
	if current := g.member.Versions(); g.isPublished && current == g.publishedVersions {
		return g, nil
	}
	g.publishedVersions, g.isPublished = g.member.Versions(), true
	return g, []effect.Effect{effect.Publish{Snapshot: g.Snapshot()}}
}

// afterPause drops the leader and candidate roles of a process that was paused and stops it from making promises, since
// other hosts may have acted meanwhile.
func (g Group) afterPause(now time.Time) Group {
	g.member = g.member.WithAbstention(now)
	g.leader = nil
	g.candidate = g.newCandidate(now)
	return g
}

// newCandidate returns a candidate whose first attempt is delayed.
func (g Group) newCandidate(now time.Time) candidate.Candidate {
	return candidate.New(g.name, g.dataCentre, g.incarnation, g.timing, now).WithRetryDelay(now)
}
