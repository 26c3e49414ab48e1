package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/ownerload"
	"redwingsill/core/ownership"
)

// TestOneOwner plays random faults on coordinators and backend servers and checks at every step that no key is held by
// two servers, and that tokens rise from owner to owner. Calls are lost, late by seconds, or refused; servers are cut
// off, killed and started again; coordinators are killed, or go on beside their successors without the store.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 400 {
			w.step()
		}
	})
}

var worldTerms = ownership.Terms{Hold: 4 * time.Second, HoldAway: 10 * time.Second, Away: time.Second, Grace: 2200 * time.Millisecond, ClockSlack: 0.025, CallTimeout: time.Second,
	Renew: 1100 * time.Millisecond, Retry: 250 * time.Millisecond, Extension: 12 * time.Second, Settle: 500 * time.Millisecond,
	Plan: 400 * time.Millisecond, Look: 50 * time.Millisecond, Stay: 200 * time.Millisecond, MostMoves: 8}

// lease is the coordinator's lease in the world's store.
const lease = 2500 * time.Millisecond

// world is a store, some backend servers and the coordinators that were ever elected.
type world struct {
	t            *rapid.T
	now          time.Time
	servers      []*server
	coordinators []*coordinator
	keys         keymap.Map
	fence        int64
	revision     int64
	leader       int
	leaseUntil   time.Time
	// isAway says that the store answers nobody, and lastAway when it did so last.
	isAway   bool
	lastAway time.Time
	load     keyload.Load
	// calls are under way.
	calls []call
	born  int64
}

type coordinator struct {
	state    ownership.Ownership
	leader   int
	revision int64
	isAlive  bool
	isCut    bool
}

// call is an order under way to a server.
type call struct {
	at     time.Time
	from   *coordinator
	apply  func() command.Result
	answer func(command.Result)
	lost   bool
	// lateBy is how much later it takes effect than it arrives.
	lateBy time.Duration
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), load: keyload.New()}
	for i := range 4 {
		w.start(fmt.Sprintf("s%d", i), fmt.Sprintf("10.0.0.%d:80", i))
	}
	return w
}

func (w *world) start(id, address string) {
	w.born++
	w.servers = append(w.servers, &server{instance: instance.Instance{ID: id, Born: w.born, Service: "s", Address: address, Slots: 2},
		isListed: true, isAlive: true, seen: map[int]int64{}, held: map[int]hold{}})
}

// step lets some time pass and perhaps something happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(5, 150).Draw(w.t, "ms")) * time.Millisecond)
	w.load = w.load.With(rapid.SampledFrom([]int{5, 6, 7, 40000, 40001, 65535}).Draw(w.t, "key"), w.now)
	w.deliver()
	w.happen()
	if w.isAway {
		w.lastAway = w.now
	}
	w.elect()
	for _, c := range w.coordinators {
		if !c.isAlive {
			continue
		}
		if c.leader == w.leader && !c.isCut && !w.isAway && w.now.Before(w.leaseUntil) {
			w.leaseUntil = w.now.Add(lease)
			c.state = c.state.WithLease(w.leaseUntil)
		}
		if w.isAway && rapid.IntRange(0, 2).Draw(w.t, "told") == 0 {
			c.state = c.state.WithAway(w.now)
		}
		if !c.isCut && !w.isAway {
			c.state = c.state.WithMembers(w.members(), w.addresses(), w.now)
		}
		state, orders := c.state.WithTick(w, w.now)
		c.state = state
		for _, o := range orders {
			w.carryOut(c, o)
		}
	}
	w.check()
}

func (w *world) members() []instance.Instance {
	var all []instance.Instance
	for _, s := range w.servers {
		if s.isListed {
			all = append(all, s.instance)
		}
	}
	return all
}

func (w *world) addresses() map[string]string {
	all := map[string]string{}
	for _, m := range w.members() {
		all[m.Address] = m.Incarnation()
	}
	return all
}

// happen draws an event.
func (w *world) happen() {
	s := w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(w.t, "server")]
	switch rapid.IntRange(0, 60).Draw(w.t, "event") {
	case 0:
		s.isCut = !s.isCut
	case 1:
		if s.isAlive {
			s.isAlive, s.isListed = false, false
			if len(w.servers) < 10 {
				w.start(s.instance.ID, s.instance.Address)
			}
		}
	case 2:
		s.isListed = s.isAlive && !s.isListed
	case 3:
		s.instance = s.instance.WithLeaving(w.now.Add(time.Second))
	case 4:
		if c := w.current(); c != nil {
			c.isAlive = false
		}
	case 5:
		if c := w.current(); c != nil {
			c.isCut = true
		}
	case 9, 10:
		// From now on only the coordinator of today reaches the server, and it is cut off from the store.
		if c := w.current(); c != nil && s.isAlive {
			s.hiddenFrom, s.isListed, c.isCut = w.leader+1, false, true
		}
	case 11:
		if s.isAlive {
			s.hiddenFrom, s.isListed = 0, true
		}
	case 7, 8:
		w.isAway = !w.isAway
	case 6:
		if len(w.servers) < 10 {
			w.start(fmt.Sprintf("n%d", len(w.servers)), fmt.Sprintf("10.0.1.%d:80", len(w.servers)))
		}
	}
}

func (w *world) current() *coordinator {
	for _, c := range w.coordinators {
		if c.leader == w.leader && c.isAlive {
			return c
		}
	}
	return nil
}

func (w *world) elect() {
	if w.now.Before(w.leaseUntil) || w.isAway {
		return
	}
	w.leader++
	w.leaseUntil = w.now.Add(lease)
	c := &coordinator{state: ownership.New(worldTerms, w.keys, w.fence, w.now).WithLease(w.leaseUntil), leader: w.leader,
		revision: w.revision, isAlive: true}
	if rapid.IntRange(0, 3).Draw(w.t, "sound") > 0 {
		c.state = c.state.WithSound(w.lastAway)
	}
	w.coordinators = append(w.coordinators, c)
}

// carryOut sends an order on its way.
func (w *world) carryOut(c *coordinator, o command.Command) {
	w.t.Logf("%v coordinator %d: %T %+v", w.now.Sub(time.Unix(1_000_000, 0)), c.leader, o, o)
	next := call{from: c, at: w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "way")) * time.Millisecond),
		lost: rapid.IntRange(0, 9).Draw(w.t, "lost") == 0}
	if next.lost {
		next.lateBy = time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "late")) * time.Millisecond
	}
	switch o := o.(type) {
	case command.Grant:
		s := w.find(o.To)
		next.apply = func() command.Result { return s.grant(o, next.at, next.at.Add(next.lateBy)) }
		next.answer = func(r command.Result) {
			c.state = c.state.WithGranted([]command.End{{ID: o.ID, Result: r}}, w.now)
		}
		w.call(s, next)
	case command.Release:
		s := w.find(o.From)
		next.lateBy = 0
		next.apply = func() command.Result { return s.release(o) }
		next.answer = func(r command.Result) { c.state = c.state.WithReleased(o.ID, r, "h", w.now) }
		w.call(s, next)
	case command.Save:
		result := command.Stale
		if c.leader == w.leader && c.revision == w.revision && w.now.Before(w.leaseUntil) && !c.isCut && !w.isAway {
			w.keys, w.fence = o.Keys, max(w.fence, o.Fence)
			w.revision++
			c.revision = w.revision
			result = command.Done
		}
		if c.isCut || w.isAway {
			return // it is tried again and again
		}
		c.state = c.state.WithSaved(o, result, w.now)
	}
}

func (w *world) call(s *server, next call) {
	if s.isCut || !s.isAlive || s.hiddenFrom > 0 && next.from.leader >= s.hiddenFrom {
		unsent := next
		unsent.apply, unsent.lost = func() command.Result { return command.Unsent }, false
		next = unsent
	}
	w.calls = append(w.calls, next)
}

// deliver lets calls take effect and be answered whose time has come.
func (w *world) deliver() {
	var left []call
	for _, c := range w.calls {
		if c.at.Add(c.lateBy).After(w.now) {
			if c.lost && c.answer != nil && c.at.Add(worldTerms.CallTimeout).Before(w.now) {
				c.answer(command.Lost)
				c.answer = nil
			}
			left = append(left, c)
			continue
		}
		result := c.apply()
		w.t.Logf("%v call sent to arrive at %v took effect: %v, lost %v", w.now.Sub(time.Unix(1_000_000, 0)), c.at.Sub(time.Unix(1_000_000, 0)), result, c.lost)
		if c.lost {
			result = command.Lost
		}
		if c.answer != nil {
			c.answer(result)
		}
	}
	w.calls = left
}

func (w *world) find(i instance.Instance) *server {
	for _, s := range w.servers {
		if s.instance.Incarnation() == i.Incarnation() {
			return s
		}
	}
	panic("an order for a server that was never there")
}

// check fails where two servers hold one key.
func (w *world) check() {
	for _, key := range sampleKeys {
		holder := ""
		for _, s := range w.servers {
			if h, ok := s.held[key]; ok && s.isAlive && w.now.Before(h.until) {
				if holder != "" {
					w.t.Fatalf("key %d is held by %s and %s", key, holder, s.instance.Incarnation())
				}
				holder = s.instance.Incarnation()
			}
		}
	}
}

// Load implements ownership.Queues.
func (w *world) KeyLoad() keyload.Load { return w.load }

// Pressures implements ownership.Queues.
func (w *world) OwnerLoads(time.Time) map[string]ownerload.OwnerLoad {
	all := map[string]ownerload.OwnerLoad{}
	for i, s := range w.servers {
		one := ownerload.OwnerLoad{Free: 2}
		if i == 0 {
			one = ownerload.OwnerLoad{Waiting: []int{6, 40001}, Running: []int{5}}
		}
		all[s.instance.Incarnation()] = one
	}
	return all
}

// WorkOf implements ownership.Queues.
func (w *world) MeanServiceTime() time.Duration { return 200 * time.Millisecond }

// Waiting implements ownership.Queues.
func (w *world) Waiting() int { return 2 }
