package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// orderFault lets servers send an extra copy of an answer to a grant and leave the grant after it unanswered, to be carried out
// late. The extra copies stay within a share of the answers that a server gives while the fault lasts.
type orderFault struct {
	// lateness is how long after its arrival a grant is carried out.
	lateness time.Duration
	// extraShare bounds the extra copies as a share of the answers, and lateShare the grants that are carried out late as a share
	// of the grants.
	extraShare, lateShare float64

	mu     sync.Mutex
	random *rand.Rand
	until  time.Time
	// servers has the servers that the present fault concerns, each with its count.
	servers map[string]*faultCount
	struck  int
}

// faultCount counts what a server does while the fault lasts.
type faultCount struct {
	answersBefore int64
	grants        int
	struck        int
}

// begin starts a fault at some of the servers.
func (f *orderFault) begin(servers []*keyServer, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until, f.servers = time.Now().Add(duration), map[string]*faultCount{}
	for _, s := range servers {
		f.servers[s.id] = &faultCount{answersBefore: s.answers.Load()}
	}
}

// strikes reports whether a grant that follows an answered one on its connection is hit.
func (f *orderFault) strikes(s *keyServer, body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.servers[s.id]
	if !ok || time.Now().After(f.until) {
		return false
	}
	c.grants++
	answers := float64(s.answers.Load() - c.answersBefore)
	if float64(c.struck+1) > f.extraShare*answers || float64(c.struck+1) > f.lateShare*float64(c.grants) || f.random.Float64() > f.lateShare {
		return false
	}
	c.struck++
	f.struck++
	s.record.writef("server %s sends the answer before once more and leaves unanswered the grant %s", s.id, body)
	return true
}

func (f *orderFault) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.struck
}
