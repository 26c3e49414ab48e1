package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/ownership"
	"redwingsill/core/proof"
)

// presumedRun drives a coordinator whose grants to the holder are all answered over one connection that has carried other calls.
type presumedRun struct {
	state ownership.Ownership
	now   time.Time
	// calls counts the calls on the holder's connection.
	calls int64
	// releaseConnection is the connection over which a release is answered.
	releaseConnection int64
	// preferred has the connections that the releases ask for, and tokens the fencing tokens of the holder's fencing grants.
	preferred []int64
	tokens    []int64
	// acquiredAt is when the successor was granted keys.
	acquiredAt time.Time
}

const holderConnection = 7

func (r *presumedRun) runFor(d time.Duration, members ...instance.Instance) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		next, commands := r.state.WithMembers(members, r.now).WithLease(r.now.Add(lease)).WithTick(&model{now: r.now, load: keyload.New()}, r.now)
		r.state = next
		for _, c := range commands {
			r.execute(c)
		}
	}
}

func (r *presumedRun) execute(c command.Command) {
	switch c := c.(type) {
	case command.Grant:
		answer := proof.Proof{}
		switch {
		case c.To.ID == successor.ID:
			r.acquiredAt = r.now
		case c.IsFencing:
			r.tokens = append(r.tokens, c.Fence)
		default:
			r.calls++
			answer = proof.Proof{Connection: holderConnection, Ordinal: r.calls + 1, IsPresumed: true}
		}
		r.state = r.state.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done, Proof: answer}}, r.now)
	case command.Release:
		r.preferred = append(r.preferred, c.Connection)
		r.calls++
		r.state = r.state.WithReleaseResult(c.ID, command.Answer{Result: command.Done, Proof: proof.Proof{Connection: r.releaseConnection, Ordinal: r.calls + 1}}, r.now)
	case command.Save:
		r.state = r.state.WithSaveResult(c, command.Done, r.now)
	}
}

func newPresumedRun(releaseConnection int64) *presumedRun {
	now := time.Unix(8_000_000, 0)
	r := &presumedRun{state: ownership.New(modelTiming, keymap.New(), 0, now), now: now, releaseConnection: releaseConnection}
	r.runFor(2*time.Second, holder)
	r.runFor(time.Second, successor)
	return r
}

func TestOwnerIsFencedIfItsLastGrantMayHaveTheAnswerOfAnother(t *testing.T) {
	r := newPresumedRun(holderConnection + 1)
	if len(r.tokens) == 0 || r.acquiredAt.IsZero() {
		t.Errorf("the keys moved at %v with the fencing tokens %v, want at least one", r.acquiredAt, r.tokens)
	}
}

func TestReleaseThatConfirmsTheGrantsBeforeItNeedsNoFencing(t *testing.T) {
	r := newPresumedRun(holderConnection)
	if len(r.tokens) > 0 || len(r.preferred) != 1 || r.preferred[0] != holderConnection || r.acquiredAt.IsZero() {
		t.Errorf("the keys moved at %v with the fencing tokens %v after releases over the connections %v, want no token and one release over %d", r.acquiredAt, r.tokens,
			r.preferred, holderConnection)
	}
}
