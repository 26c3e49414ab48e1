package coordination

import (
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/kind"
)

// storeError is an error of the store.
type storeError kind.Kind

func (e storeError) Error() string { return string(e) }

func (e storeError) IsKind(k kind.Kind) bool { return kind.Kind(e) == k }

// newResigningHarness returns a coordinator that is about to send the call that ends its lease, which is answered with err.
func newResigningHarness(t *testing.T, err error) (*harness, *shardedService) {
	h := newHarness(t)
	service := newTestService(testStart)
	service.state = service.state.WithMembers([]instance.Instance{testServer}, testStart).WithLease(testStart.Add(testTiming.LeaseDuration))
	h.services["s"] = service
	h.tenure = tenure{isCoordinator: true, leaseID: 1, revision: 1, leaseEnd: testStart.Add(testTiming.LeaseDuration), renewedAt: testStart}
	h.revokeErr = err
	return h, service
}

func TestNoGrantIsSentOnceTheLeaseMayHaveBeenRevoked(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"the result is unknown", storeError(kind.Unknown), 0},
		{"the call had no effect", storeError(kind.Unavailable), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, service := newResigningHarness(t, c.err)
			h.advance(100 * time.Millisecond)
			h.resign(h.clock.Load())
			if n := len(grantsIn(h.tick(service))); n > 0 {
				t.Errorf("%d grants were sent while the call was in flight, want none", n)
			}
			h.apply()
			if n := len(grantsIn(h.tick(service))); n != c.want {
				t.Errorf("%d grants were sent after the result, want %d", n, c.want)
			}
		})
	}
}

func TestSecondRevocationDoesNotExtendTheLease(t *testing.T) {
	h, service := newResigningHarness(t, storeError(kind.Unknown))
	h.resign(testStart)
	h.apply()
	h.advance(resignRetryDelay)
	h.revokeErr = storeError(kind.Unavailable)
	h.resign(h.clock.Load())
	h.apply()
	if n := len(grantsIn(h.tick(service))); n > 0 || h.tenure.leaseEnd.After(testStart) {
		t.Errorf("%d grants were sent and the lease counts until %v; want none after the first call, which may have ended it", n, h.tenure.leaseEnd)
	}
}

func TestRenewalInFlightDoesNotExtendARevokedLease(t *testing.T) {
	h, service := newResigningHarness(t, storeError(kind.Unknown))
	h.renewLease(testStart)
	renewed := <-h.results
	h.resign(testStart)
	h.apply()
	renewed()
	if n := len(grantsIn(h.tick(service))); n > 0 {
		t.Errorf("%d grants were sent after the renewal, want none", n)
	}
}
