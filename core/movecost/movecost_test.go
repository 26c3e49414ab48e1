package movecost_test

import (
	"testing"
	"time"

	"redwingsill/core/movecost"
)

// Guards against moves that make more requests wait than they serve.
func TestPays(t *testing.T) {
	for _, c := range []struct {
		name       string
		gain, rate float64
		running    time.Duration
		want       bool
	}{
		{"a hot key", 8, 8, 0, true},
		{"a waiting request among idle keys", 1, 1, 0, true},
		{"a waiting request among busy keys with running work", 1, 8, 160 * time.Millisecond, false},
		{"no gain", 0, 0, 0, false},
	} {
		if got := movecost.New(2*time.Second).Pays(c.gain, c.rate, c.running); got != c.want {
			t.Errorf("%s: pays %v, want %v", c.name, got, c.want)
		}
	}
}
