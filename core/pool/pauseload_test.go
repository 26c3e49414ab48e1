package pool_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
)

// pauseLoad is a load on nine servers of four slots, a third of which turn the requests of one host away for some time.
type pauseLoad struct {
	*harness
	isSharded bool
	pauseEnd  time.Time
	// running gives, by ticket, the end of each request that a server runs.
	running map[uint64]time.Time
	// arrivals counts the requests that reach the pausing servers more than half a second after the first refusal there and
	// before the end, and returned those within the service time after the end.
	arrivals, returned int
	firstRefusal       time.Time
	served, refused    map[int]int
	ranks              map[uint64]int
	requestedAt        map[uint64]time.Time
	// late counts the requests by rank that were refused after they had waited.
	late map[int]int
}

const playedServiceTime = 100 * time.Millisecond

func isPausing(id string) bool { return id < "i3" }

func newPauseLoad(isSharded bool) *pauseLoad {
	var servers []instance.Instance
	var holdings []holding.Holding
	for n := range 9 {
		servers = append(servers, server(fmt.Sprintf("i%d", n), "a", 4))
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: n * 7000, To: n*7000 + 6999}, Owner: fmt.Sprintf("i%d@0", n), Fence: int64(n + 1)})
	}
	l := &pauseLoad{harness: newHarness(isSharded, servers...), isSharded: isSharded, running: map[uint64]time.Time{}, served: map[int]int{},
		refused: map[int]int{}, ranks: map[uint64]int{}, requestedAt: map[uint64]time.Time{}, late: map[int]int{}}
	l.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithKeys(keymap.New(holdings...), nil, l.now)
	})
	return l
}

// play runs two requests each 10 ms for the given time. Half of the slots are in use.
func (l *pauseLoad) play(duration time.Duration, random *rand.Rand) {
	for end := l.now.Add(duration); l.now.Before(end); {
		l.advance(10 * time.Millisecond)
		for range 2 {
			ticket := uint64(len(l.ranks) + 1)
			l.ranks[ticket], l.requestedAt[ticket] = random.IntN(3), l.now
			r := slotrequest.SlotRequest{Ticket: ticket, Key: slotrequest.NoKey, Rank: l.ranks[ticket], Deadline: l.now.Add(2 * time.Second)}
			if l.isSharded {
				r.Key = random.IntN(63000)
			}
			l.request(r)
		}
		l.serve()
	}
}

// serve starts the placed requests and ends those that have run. The pausing servers refuse requests until the end of the
// pause.
func (l *pauseLoad) serve() {
	for isChanged := true; isChanged; {
		isChanged = false
		for _, ticket := range slices.Sorted(maps.Keys(l.placed)) {
			id := l.placed[ticket]
			end, isRunning := l.running[ticket]
			switch {
			case !isRunning && isPausing(id) && l.now.Before(l.pauseEnd):
				if l.firstRefusal.IsZero() {
					l.firstRefusal = l.now
				}
				if l.now.Sub(l.firstRefusal) >= 500*time.Millisecond {
					l.arrivals++
				}
				l.refuseWithPause(ticket, l.pauseEnd.Sub(l.now))
				delete(l.placed, ticket)
				l.refused[l.ranks[ticket]]++
			case !isRunning:
				l.running[ticket] = l.now.Add(playedServiceTime)
				if since := l.now.Sub(l.pauseEnd); isPausing(id) && since >= 0 && since < playedServiceTime {
					l.returned++
				}
				continue
			case l.now.Before(end):
				continue
			default:
				l.finish(ticket, attemptresult.Answered, playedServiceTime)
				delete(l.placed, ticket)
				l.served[l.ranks[ticket]]++
			}
			isChanged = true
			break
		}
	}
	for ticket := range l.harness.refused {
		if l.now.Sub(l.requestedAt[ticket]) > 20*time.Millisecond {
			l.late[l.ranks[ticket]]++
		}
		l.refused[l.ranks[ticket]]++
		delete(l.harness.refused, ticket)
	}
}

var _ = DescribeTable("a third of the servers asks for a pause under load", func(isSharded bool, pause time.Duration, maxRefused float64) {
	l := newPauseLoad(isSharded)
	random := rand.New(rand.NewPCG(1, 2))
	l.play(time.Second, random)
	l.pauseEnd = l.now.Add(pause)
	l.play(pause+3*time.Second, random)
	total, refused := 0, 0
	for rank := range 3 {
		total += l.served[rank] + l.refused[rank]
		refused += l.refused[rank]
	}
	GinkgoWriter.Println("sharded", isSharded, "pause", pause, "served", l.served, "refused", l.refused, "late", l.late,
		"arrivals", l.arrivals, "returned", l.returned)
	Expect(l.arrivals).To(BeZero())
	Expect(l.returned).To(BeNumerically("<=", 3)) // one for each of the three servers
	Expect(l.late[0]).To(BeZero())                // others may be overtaken by more urgent requests that come later
	Expect(float64(refused) / float64(total)).To(BeNumerically("<=", maxRefused))
},
	// At most the requests for the keys of a third of the servers are refused.
	Entry("1 s", false, time.Second, 0.01),
	Entry("5 s", false, 5*time.Second, 0.01),
	Entry("30 s", false, 30*time.Second, 0.01),
	Entry("1 s, keyed", true, time.Second, 0.05),
	Entry("5 s, keyed", true, 5*time.Second, 0.34),
	Entry("30 s, keyed", true, 30*time.Second, 0.34),
)
