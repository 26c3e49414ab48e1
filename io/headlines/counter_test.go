package headlines_test

import (
	"strings"
	"testing"

	"redwingsill/io/headlines"
)

func TestLinesBehindAHeadAreNotCounted(t *testing.T) {
	for _, c := range []struct {
		text string
		want bool
	}{
		{strings.Repeat("a:\n", headlines.Max) + "\n" + strings.Repeat("a\n", 1000), true},
		{strings.Repeat("a:\r\n", headlines.Max) + "\r\n" + strings.Repeat("\r\n", 1000), true},
		{strings.Repeat("a:\n", headlines.Max+1), false},
		{strings.Repeat("a:\r\n", headlines.Max+1) + "\r\n", false},
	} {
		for _, size := range []int{1, 2, 3, len(c.text)} {
			var counter headlines.Counter
			got := true
			for rest := c.text; rest != ""; rest = rest[min(size, len(rest)):] {
				got = counter.Add([]byte(rest[:min(size, len(rest))]))
			}
			if got != c.want {
				t.Errorf("%q… in parts of %d: got %v, want %v", c.text[:8], size, got, c.want)
			}
		}
	}
}
