// Package coordination makes one entry host the coordinator, by a lease in the store, and carries out what the
// coordinator decides on the ownership of keys.
package coordination

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"redwingsill/core/directory"
	"redwingsill/core/instance"
	"redwingsill/core/ownership"
	"redwingsill/core/rcu"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/io/registry"
	"redwingsill/io/slotserver"
	"redwingsill/io/task"
)

// Coordination is one host's part in it. Its state belongs to the goroutine of Run; all else reaches it by channels.
type Coordination struct {
	name      string
	mark      string
	terms     ownership.Timing
	lease     time.Duration
	store     Store
	servers   Servers
	registry  *registry.Registry
	directory *rcu.Value[directory.Directory]
	roster    *rcu.Value[roster.Roster]
	routing   *rcu.Value[routing.Routing]
	desk      *slotserver.SlotServer
	peers     Peers
	now       func() time.Time
	log       *slog.Logger
	group     *task.Group
	// results carries what ended calls change in the state.
	results chan func()
	changes chan struct{}
	// isResigning says that this host stops soon.
	isResigning atomic.Bool

	reign     reign
	services  map[string]*divided
	published map[string]publication
	// contactsAt is when the hosts were last asked for their contact with the store, and isAway what that showed.
	contactsAt time.Time
	isAway     bool
	absentAt   time.Time
	checkedAt  time.Time
	campaigns  int
}

// New returns the part of a host. The incarnation must differ from start to start.
func New(name, incarnation string, terms ownership.Timing, lease time.Duration, s Store, servers Servers, r *registry.Registry,
	hosts *rcu.Value[directory.Directory], members *rcu.Value[roster.Roster], routes *rcu.Value[routing.Routing], d *slotserver.SlotServer,
	peers Peers, now func() time.Time, log *slog.Logger, changes chan struct{}) *Coordination {
	return &Coordination{name: name, mark: name + "/" + incarnation, terms: terms, lease: lease, store: s, servers: servers,
		registry: r, directory: hosts, roster: members, routing: routes, desk: d, peers: peers, now: now, log: log,
		results: make(chan func(), resultBuffer), changes: changes, services: map[string]*divided{},
		published: map[string]publication{}}
}

// Run takes part until the context ends, and then gives the lease up.
func (c *Coordination) Run(ctx context.Context) {
	group, wait := task.New(ctx)
	c.group = group
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stop(wait)
			return
		case apply := <-c.results:
			apply()
		case <-c.changes:
		case <-timer.C:
		}
		c.drain()
		c.step()
		timer.Reset(c.pace())
		task.Sleep(ctx, stepPause)
	}
}

// drain applies the results of all calls that have ended, so that one step follows many of them.
func (c *Coordination) drain() {
	for {
		select {
		case apply := <-c.results:
			apply()
		default:
			return
		}
	}
}

// pace returns the time until the next look: short while this host is the coordinator.
func (c *Coordination) pace() time.Duration {
	if c.reign.isCoordinator || len(c.services) > 0 {
		return tick
	}
	return idleTick
}

// Resign makes this host give its lease up, so that another one need not wait for its end. While the store can't be
// reached nobody could take over, so until it can, or Run ends, the host goes on renewing what it granted.
func (c *Coordination) Resign() {
	c.isResigning.Store(true)
	select {
	case c.changes <- struct{}{}:
	default: // a change is waiting already
	}
}

// stop waits for the calls under way and gives the lease up if that was not done before.
func (c *Coordination) stop(wait func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait()
	}()
	for done := false; !done; {
		select {
		case <-c.results:
		case <-ended:
			done = true
		}
	}
	if !c.reign.isCoordinator {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := c.store.End(ctx, c.reign.lease); err != nil {
		c.log.Warn("lease not given up; it ends by itself", "Error", err)
		return
	}
	c.log.Info("lease given up")
}

// step does what can be done now.
func (c *Coordination) step() {
	now := c.now()
	c.rule(now)
	c.lookForServices(now)
	c.lookAway(now)
	for name, d := range c.services {
		if len(d.ends) > 0 {
			d.state = d.state.WithGrantResults(d.ends, now)
			d.ends = nil
		}
		c.stepService(name, d, now)
	}
	c.publish()
}

// lookForServices begins with services that are divided and not looked after yet.
func (c *Coordination) lookForServices(now time.Time) {
	if !c.reign.isCoordinator {
		return
	}
	for name, s := range c.routing.Read().Services {
		if _, ok := c.services[name]; !ok && s.IsSharded {
			d := &divided{}
			c.services[name] = d
			c.load(name, d)
		}
	}
}

// stepService moves one service's ownership on.
func (c *Coordination) stepService(name string, d *divided, now time.Time) {
	if !d.isLoaded {
		return
	}
	if !d.state.IsActing(now) || !c.reign.isCoordinator && c.registry.CoordinatorRevision() != 0 &&
		c.registry.CoordinatorRevision() != c.reign.revision {
		c.log.Info("ownership given up", "Service", name, "Deposed", d.state.IsDeposed())
		delete(c.services, name)
		return
	}
	p := c.desk.Pool(name)
	members := c.roster.Read().OfService(name)
	if !slices.Equal(members, d.members) {
		d.members = members
		d.state = d.state.WithMembers(members, c.addresses(), now)
	}
	if now.Sub(d.ratedAt) >= c.terms.WaitingInterval {
		d.ratedAt = now
		d.state = d.state.WithCapacities(capacities(members, p.Slowness()))
	}
	state, orders := d.state.WithTick(p, now)
	d.state = state
	c.carryOut(name, d, orders)
}

// capacities returns how many average requests each backend server runs at the same time.
func capacities(members []instance.Instance, speeds map[string]float64) map[string]float64 {
	all := make(map[string]float64, len(members))
	for _, m := range members {
		factor, ok := speeds[m.Incarnation()]
		if !ok {
			factor = 1
		}
		all[m.Incarnation()] = float64(m.Slots) / min(mostFactor, max(leastFactor, factor))
	}
	return all
}

// addresses gives the life that has each address.
func (c *Coordination) addresses() map[string]string {
	all := map[string]string{}
	for _, i := range c.roster.Read().All() {
		all[i.Address] = i.Incarnation()
	}
	return all
}

func (c *Coordination) nextMark() string {
	c.campaigns++
	return c.mark + "/" + strconv.Itoa(c.campaigns)
}

// run makes a call in a goroutine and applies its result in the goroutine of Run.
func (c *Coordination) run(call func(ctx context.Context) func()) {
	c.group.Go(func(ctx context.Context) {
		apply := call(ctx)
		select {
		case c.results <- apply:
		case <-ctx.Done():
		}
	})
}
