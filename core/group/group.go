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
	maxDoublings = 5
	maxPause     = 8 * time.Second
	listEvery    = 2 // calls for each call for the list of hosts, once there is one
)

// Group is the state of the host's part. It is immutable.
type Group struct {
	name        string
	dataCentre  string
	incarnation int64
	timing      timing.Timing
	member      member.Member
	candidate   candidate.Candidate
	arbiter     *leader.Leader
	steppedAt   time.Time
	hosts       map[string]hostentry.HostEntry
	shown       versions.Versions
	isShown     bool
	isLeaving   bool
	sequence    int64
	// lonelyCalls counts the calls made without an arbiter, and nextCallAt is when the next is due.
	lonelyCalls int
	nextCallAt  time.Time
}

// New returns the part of a host that has just started. The incarnation must differ from start to start.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Group {
	return Group{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		member:    member.New(name, incarnation, t, now),
		candidate: candidate.New(name, dataCentre, incarnation, t, now),
		steppedAt: now,
		sequence:  -now.UnixNano(),
	}
}

// Member returns the host's part as a member.
func (c Group) Member() member.Member { return c.member }

// Arbiter returns the host's part as the arbiter, and whether it is the arbiter.
func (c Group) Arbiter() (leader.Leader, bool) {
	if c.arbiter == nil {
		return leader.Leader{}, false
	}
	return *c.arbiter, true
}

// Hosts returns the entry hosts that are known, by name.
func (c Group) Hosts() map[string]hostentry.HostEntry {
	if hosts := c.member.View().Hosts; len(hosts) > 0 {
		return hosts
	}
	return c.hosts
}

// Snapshot returns what the host needs to route.
func (c Group) Snapshot() snapshot.Snapshot {
	m := c.member
	_, declared := m.Configuration().DataCentres[c.dataCentre]
	return snapshot.New(c.name, c.dataCentre, m.Configuration(), m.Assignment(), m.View()).
		WithState(declared && m.View().Term > 0 && !c.isLeaving, c.isLeaving)
}

// Step returns the host's part after an event, and what is to be done.
func (c Group) Step(e event.Event, now time.Time) (Group, []effect.Effect) {
	if now.Sub(c.steppedAt) > c.timing.Permit {
		c = c.afterPause(now)
	}
	c.steppedAt = now
	var effects []effect.Effect
	queue := []event.Event{e}
	for len(queue) > 0 {
		var raised []effect.Effect
		c, raised = c.stepRoles(queue[0], now)
		queue = queue[1:]
		for _, r := range raised {
			if s, ok := r.(effect.Send); ok && s.To == c.name {
				queue = append(queue, event.MessageReceived{From: c.name, Message: s.Message})
			} else if i, ok := r.(effect.NotifyMember); ok {
				queue = append(queue, i.Event)
			} else {
				effects = append(effects, r)
			}
		}
	}
	c, shown := c.show()
	return c, append(effects, shown...)
}

// WithHandover returns the part that hands a memory over for a steward of this host, and what is to be done.
func (c Group) WithHandover(e effect.HandOver, now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	c.member, effects = c.member.WithHandover(e, now)
	if s, ok := effects[0].(effect.Send); ok && s.To == c.name {
		return c.Step(event.MessageReceived{From: c.name, Message: s.Message}, now)
	}
	return c, effects
}

// stepRoles gives an event to each part in turn.
func (c Group) stepRoles(e event.Event, now time.Time) (Group, []effect.Effect) {
	c, effects := c.stepSelf(e, now)
	var more []effect.Effect
	c.member, more = c.member.Step(e, now)
	effects = append(effects, more...)
	if c.arbiter != nil {
		next, more := c.arbiter.Step(e, c.member, now)
		effects = append(effects, more...)
		c.arbiter = &next
		if next.HasResigned() {
			c.arbiter = nil
			c.candidate = c.freshCandidate(now)
		}
		return c, effects
	}
	c.candidate, more = c.candidate.Step(e, c.member, now)
	effects = append(effects, more...)
	if won, ok := c.candidate.Won(now); ok && won.Term == c.member.Term() && !c.isLeaving {
		next := leader.New(c.name, c.dataCentre, c.incarnation, c.timing, won, c.member, now)
		next, more = next.Step(event.Ticked{}, c.member, now)
		effects = append(effects, more...)
		c.arbiter = &next
	}
	return c, effects
}

// stepSelf handles what concerns no role: the first configuration and list of hosts.
func (c Group) stepSelf(e event.Event, now time.Time) (Group, []effect.Effect) {
	switch e := e.(type) {
	case event.LeaveRequested:
		c.isLeaving = true
		c.isShown = false
	case event.HostsListed:
		c.hosts = map[string]hostentry.HostEntry{}
		for _, h := range e.Hosts {
			if h.Address != "" {
				c.hosts[h.Name] = h
			}
		}
	case event.KeyRead:
		if e.ID == c.sequence && c.sequence < 0 {
			if next, err := configuration.Parse(e.Value); err == nil {
				c.member = c.member.WithConfiguration(next)
			}
		}
	case event.Ticked:
		return c.bootstrap(now)
	default:
	}
	return c, nil
}

// bootstrap asks the platform for what an arbiter would tell, while there is none.
func (c Group) bootstrap(now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	isAlone := now.Sub(c.member.BeatAt()) > c.timing.Silence
	if !isAlone {
		c.lonelyCalls = 0
		return c, nil
	}
	if now.Before(c.nextCallAt) {
		return c, nil
	}
	c.nextCallAt = now.Add(c.pause())
	c.lonelyCalls++
	if len(c.Hosts()) == 0 || c.lonelyCalls%listEvery == 0 {
		effects = append(effects, effect.ListHosts{})
	}
	_, declared := c.member.Configuration().DataCentres[c.dataCentre]
	if !declared {
		c.sequence--
		effects = append(effects, effect.ReadKey{ID: c.sequence, Key: string(platformkey.Configuration), AfterRevision: -1})
	}
	return c, effects
}

// pause returns the time until the next call of a host without an arbiter. It doubles up to a bound and differs from
// host to host, so that many hosts that start at once do not call at once.
func (c Group) pause() time.Duration {
	longest := min(c.timing.Beat<<min(c.lonelyCalls, maxDoublings), maxPause)
	share := xxhash.Sum64String(c.name+strconv.Itoa(c.lonelyCalls)) % 1000
	return longest/2 + longest/2*time.Duration(share)/1000
}

// show publishes a snapshot when something in it has changed.
func (c Group) show() (Group, []effect.Effect) {
	if now := c.member.Stamp(); c.isShown && now == c.shown {
		return c, nil
	}
	c.shown, c.isShown = c.member.Stamp(), true
	return c, []effect.Effect{effect.Publish{Snapshot: c.Snapshot()}}
}

// afterPause drops what may have been overtaken while the process did not run.
func (c Group) afterPause(now time.Time) Group {
	c.member = c.member.WithSilence(now)
	c.arbiter = nil
	c.candidate = c.freshCandidate(now)
	return c
}

func (c Group) freshCandidate(now time.Time) candidate.Candidate {
	return candidate.New(c.name, c.dataCentre, c.incarnation, c.timing, now).WithRest(now)
}
