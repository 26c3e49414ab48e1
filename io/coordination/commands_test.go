package coordination

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
)

func TestGrantsAreSentWithinTheCallTimeoutOfTheirStep(t *testing.T) {
	for _, c := range []struct {
		name string
		// beforeFirst passes from the step to the first call, and duringFirst during that call.
		beforeFirst, duringFirst time.Duration
		want                     []command.Result
	}{
		{"at once", 0, 0, []command.Result{command.Done, command.Done}},
		{"suspended before the first", testTiming.CallTimeout, 0, []command.Result{command.Unsent, command.Unsent}},
		{"suspended during the first", testTiming.CallTimeout / 2, testTiming.CallTimeout / 2, []command.Result{command.Done, command.Unsent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			sent := 0
			h.onGrant = func(command.Grant) command.Answer {
				sent++
				h.advance(c.duringFirst)
				return command.Answer{Result: command.Done}
			}
			service := newTestService(testStart)
			h.advance(c.beforeFirst)
			h.execute("s", service, []command.Command{command.Grant{ID: 1, To: testServer, Range: keyrange.Range{From: 0, To: 1}},
				command.Grant{ID: 2, To: testServer, Range: keyrange.Range{From: 2, To: 3}}}, testStart)
			h.apply()
			wantSent := 0
			for i, want := range c.want {
				if got := service.completions[i]; got.Result != want || got.ID != int64(i+1) {
					t.Errorf("the result is %+v, want %v", got, want)
				}
				if want == command.Done {
					wantSent++
				}
			}
			if sent != wantSent {
				t.Errorf("%d grants were sent, want %d", sent, wantSent)
			}
		})
	}
}
