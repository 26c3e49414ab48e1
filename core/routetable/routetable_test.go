package routetable_test

import (
	"testing"

	"redwingsill/core/routetable"
	"redwingsill/core/rule"
)

func TestFind(t *testing.T) {
	table := routetable.New(
		rule.Rule{Name: "root", Host: "a.example", Prefix: "/"},
		rule.Rule{Name: "short", Host: "a.example", Prefix: "/one/"},
		rule.Rule{Name: "long", Host: "a.example", Prefix: "/one/two/"},
		rule.Rule{Name: "other", Host: "b.example", Prefix: "/one/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/one/two/three", "long"},
		{"a.example", "/one/two", "short"},
		{"a.example", "/one/", "short"},
		{"a.example", "/one", "root"},
		{"A.Example:8080", "/one/x", "short"},
		{"b.example", "/one/two/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/one/", ""},
	} {
		found, ok := table.Find(c.host, c.path)
		if !ok && c.want != "" || ok && found.Name != c.want {
			t.Errorf("%s%s: found %v, want %q", c.host, c.path, found, c.want)
		}
	}
}
