// Package group is an entry host's part in its cell: always a member, at times a candidate or the arbiter.
package group

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingsill/core/candidate"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/leader"
	"redwingsill/core/member"
	"redwingsill/core/platformkey"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
)

// The bounds of a host's calls to the platform while it has no arbiter.
const (
	maxDelayDoublings = 5
	maxCallDelay      = 8 * time.Second
	callsPerHostList  = 2 // calls for each call for the list of hosts, once there is one
)

// Group is the state of the host's part. It is immutable.
type Group struct {
	name              string
	dataCentre        string
	incarnation       int64
	timing            timing.Timing
	member            member.Member
	candidate         candidate.Candidate
	leader            *leader.Leader
	steppedAt         time.Time
	hosts             map[string]hostentry.HostEntry
	publishedVersions versions.Versions
	isPublished       bool
	isLeaving         bool
	requestID         int64
	// lonelyCalls counts the calls made without an arbiter, and nextCallAt is when the next is due.
	leaderlessCalls int
	nextCallAt      time.Time
}

// New returns the part of a host that has just started. The incarnation must differ from start to start.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Group {
	return Group{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		member:    member.New(name, incarnation, t, now),
		candidate: candidate.New(name, dataCentre, incarnation, t, now),
		steppedAt: now,
		requestID: -now.UnixNano(),
	}
}

// Member returns the host's part as a member.
func (g Group) Member() member.Member { return g.member }

// Arbiter returns the host's part as the arbiter, and whether it is the arbiter.
func (g Group) Leader() (leader.Leader, bool) {
	if g.leader == nil {
		return leader.Leader{}, false
	}
	return *g.leader, true
}

// Hosts returns the entry hosts that are known, by name.
func (g Group) Hosts() map[string]hostentry.HostEntry {
	if hosts := g.member.View().Hosts; len(hosts) > 0 {
		return hosts
	}
	return g.hosts
}

// Snapshot returns what the host needs to route.
func (g Group) Snapshot() snapshot.Snapshot {
	m := g.member
	_, declared := m.Configuration().DataCentres[g.dataCentre]
	return snapshot.New(g.name, g.dataCentre, m.Configuration(), m.Assignment(), m.View()).
		WithState(declared && m.View().Term > 0 && !g.isLeaving, g.isLeaving)
}

// Step returns the host's part after an event, and what is to be done.
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
				queue = append(queue, event.Received{From: g.name, Message: s.Message})
			} else if i, ok := r.(effect.Inform); ok {
				queue = append(queue, i.Event)
			} else {
				effects = append(effects, r)
			}
		}
	}
	g, published := g.publish()
	return g, append(effects, published...)
}

// WithHandover returns the part that hands a memory over for a steward of this host, and what is to be done.
func (g Group) WithHandover(e effect.HandOver, now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	g.member, effects = g.member.WithHandover(e, now)
	if s, ok := effects[0].(effect.Send); ok && s.To == g.name {
		return g.Step(event.Received{From: g.name, Message: s.Message}, now)
	}
	return g, effects
}

// stepRoles gives an event to each part in turn.
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

// stepSelf handles what concerns no role: the first configuration and list of hosts.
func (g Group) stepShared(e event.Event, now time.Time) (Group, []effect.Effect) {
	switch e := e.(type) {
	case event.LeaveAsked:
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
		if e.ID == g.requestID && g.requestID < 0 {
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

// bootstrap asks the platform for what an arbiter would tell, while there is none.
func (g Group) bootstrap(now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	hasNoLeader := now.Sub(g.member.HeartbeatAt()) > g.timing.SilenceTimeout
	if !hasNoLeader {
		g.leaderlessCalls = 0
		return g, nil
	}
	if now.Before(g.nextCallAt) {
		return g, nil
	}
	g.nextCallAt = now.Add(g.callDelay())
	g.leaderlessCalls++
	if len(g.Hosts()) == 0 || g.leaderlessCalls%callsPerHostList == 0 {
		effects = append(effects, effect.ListHosts{})
	}
	_, declared := g.member.Configuration().DataCentres[g.dataCentre]
	if !declared {
		g.requestID--
		effects = append(effects, effect.ReadKey{ID: g.requestID, Key: string(platformkey.Configuration), After: -1})
	}
	return g, effects
}

// pause returns the time until the next call of a host without an arbiter. It doubles up to a bound and differs from
// host to host, so that many hosts that start at once do not call at once.
func (g Group) callDelay() time.Duration {
	longest := min(g.timing.HeartbeatInterval<<min(g.leaderlessCalls, maxDelayDoublings), maxCallDelay)
	share := xxhash.Sum64String(g.name+strconv.Itoa(g.leaderlessCalls)) % 1000
	return longest/2 + longest/2*time.Duration(share)/1000
}

// show publishes a snapshot when something in it has changed.
func (g Group) publish() (Group, []effect.Effect) {
	if current := g.member.Versions(); g.isPublished && current == g.publishedVersions {
		return g, nil
	}
	g.publishedVersions, g.isPublished = g.member.Versions(), true
	return g, []effect.Effect{effect.Publish{Snapshot: g.Snapshot()}}
}

// afterPause drops what may have been overtaken while the process did not run.
func (g Group) afterPause(now time.Time) Group {
	g.member = g.member.WithAbstention(now)
	g.leader = nil
	g.candidate = g.newCandidate(now)
	return g
}

func (g Group) newCandidate(now time.Time) candidate.Candidate {
	return candidate.New(g.name, g.dataCentre, g.incarnation, g.timing, now).WithRetryDelay(now)
}
