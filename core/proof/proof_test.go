package proof_test

import (
	"testing"

	"redwingsill/core/proof"
)

func TestOnlyACertainAnswerSettlesTheCallsBeforeItOnItsConnection(t *testing.T) {
	earlier := proof.Proof{Connection: 7, Ordinal: 2, IsPresumed: true}
	for _, c := range []struct {
		name  string
		later proof.Proof
		want  bool
	}{
		{"a certain answer to the next call", proof.Proof{Connection: 7, Ordinal: 3}, true},
		{"a presumed answer to the next call", proof.Proof{Connection: 7, Ordinal: 3, IsPresumed: true}, false},
		{"a certain answer to the same call", proof.Proof{Connection: 7, Ordinal: 2}, false},
		{"a certain answer to the call before", proof.Proof{Connection: 7, Ordinal: 1}, false},
		{"a certain answer over another connection", proof.Proof{Connection: 8, Ordinal: 3}, false},
		{"a certain answer over a connection of its own", proof.Proof{}, false},
	} {
		if got := c.later.Settles(earlier); got != c.want {
			t.Errorf("%s settles the call: %v, want %v", c.name, got, c.want)
		}
	}
}
