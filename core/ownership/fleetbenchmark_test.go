package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
	"redwingsill/core/pool"
)

// BenchmarkLossOfAThird measures the coordinator's steps in 8 s in which 100 of 300 servers with 5 ranges each stop to answer, are
// unlisted, and their keys go to the others. A processor that is busy for 8 s or more can't keep up.
func BenchmarkLossOfAThird(b *testing.B) {
	const servers, lost, ranges = 300, 100, 1500
	const width = (keyrange.MaxKey + 1) / ranges
	for range b.N {
		now := time.Unix(1000, 0)
		var all []instance.Instance
		for i := range servers {
			all = append(all, instance.Instance{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "a", Slots: 2})
		}
		keys := keymap.New()
		for i := range ranges {
			to := i*width + width - 1
			if i == ranges-1 {
				to = keyrange.MaxKey
			}
			keys = keys.With(holding.Holding{Range: keyrange.Range{From: i * width, To: to}, Owner: all[i%servers].Incarnation(), Fence: int64(i + 1)})
		}
		p, _ := pool.New(true, 1).WithServers(all, now)
		o := ownership.New(benchmarkTiming, keys, 0, now).WithMembers(all, now).WithLease(now.Add(time.Hour))
		dead := map[string]bool{}
		for _, s := range all[:lost] {
			dead[s.ID] = true
		}
		for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			if now.Sub(time.Unix(1000, 0)) == 2*time.Second {
				o = o.WithMembers(all[lost:], now)
			}
			next, commands := o.WithTick(p, now)
			o = next
			var done []command.Completion
			for _, c := range commands {
				switch c := c.(type) {
				case command.Grant:
					result := command.Done
					if dead[c.To.ID] && now.Sub(time.Unix(1000, 0)) > time.Second {
						result = command.Lost
					}
					done = append(done, command.Completion{ID: c.ID, Result: result})
				case command.Release:
					result := command.Done
					if dead[c.From.ID] {
						result = command.Lost
					}
					o = o.WithReleaseResult(c.ID, command.Answer{Result: result}, now)
				case command.Save:
					o = o.WithSaveResult(c, command.Done, now)
				}
			}
			if len(done) > 0 {
				o = o.WithGrantResults(done, now)
			}
			o = o.WithoutEvents()
		}
		for _, h := range o.Keys().Holdings() {
			if dead[instance.IDOf(h.Owner)] {
				b.Fatalf("%v is still with %s", h.Range, h.Owner)
			}
		}
	}
}

var benchmarkTiming = ownership.Timing{LeaseDuration: lease, HoldTime: 4 * time.Second, UnreachableHoldTime: 10 * time.Second, UnreachableTTL: time.Second,
	OutageDetectionTime: 2200 * time.Millisecond, ClockSlack: 0.025, CallTimeout: time.Second, RenewInterval: 1100 * time.Millisecond,
	RetryDelay: 250 * time.Millisecond, UnreachableRenewGrace: 9 * time.Second, BalanceInterval: 400 * time.Millisecond,
	WaitingInterval: 50 * time.Millisecond, MoveCooldown: 800 * time.Millisecond, MaxMoves: 8}
