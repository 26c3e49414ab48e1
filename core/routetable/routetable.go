// Package routetable finds the route of a request.
package routetable

import (
	"cmp"
	"slices"
	"strings"

	"redwingsill/core/rule"
)

// Table is the routes of one configuration. It is immutable.
type Table struct {
	byHost map[string][]*rule.Rule
}

// New returns the table of the routes.
func New(rules ...rule.Rule) Table {
	byHost := map[string][]*rule.Rule{}
	for _, r := range rules {
		byHost[r.Host] = append(byHost[r.Host], &r)
	}
	for _, ofHost := range byHost {
		slices.SortStableFunc(ofHost, func(a, b *rule.Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return Table{byHost: byHost}
}

// Find returns the route of the host whose prefix is the longest that begins the path. The host may carry a port and
// capitals.
func (t Table) Find(host, path string) (*rule.Rule, bool) {
	ofHost, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		ofHost = t.byHost[strings.ToLower(name)]
	}
	for _, r := range ofHost {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
