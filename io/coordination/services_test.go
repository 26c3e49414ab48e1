package coordination

import (
	"testing"
	"time"

	"redwingsill/core/backendservice"
	"redwingsill/core/routing"
)

// Each step would read the owners, and drop them for want of a lease.
func TestOwnersAreNotReadAgainAndAgainWithoutALease(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration
		want      int
	}{
		{"the lease lasts", time.Millisecond, 1},
		{"the lease has ended", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.routing.Store(routing.Routing{Services: map[string]backendservice.BackendService{"s": {IsSharded: true}}})
			h.tenure = tenure{isCoordinator: true, leaseID: 1, revision: 1, leaseEnd: testStart.Add(c.remaining)}
			h.loadNewServices(testStart)
			if got := len(h.services); got != c.want {
				t.Errorf("the owners of %d services are read, want %d", got, c.want)
			}
		})
	}
}
