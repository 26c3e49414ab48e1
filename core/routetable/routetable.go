// Package routetable finds the routing rule of a request.
package routetable

import (
	"cmp"
	"slices"
	"strings"

	"redwingsill/core/rule"
)

// Table indexes the routing rules of one configuration by the host name in the request. It is immutable.
type Table struct {
	// byHost lists the rules of each host name, the longest prefix first.
	byHost map[string][]*rule.Rule
}

// New returns a table of the rules.
func New(rules ...rule.Rule) Table {
	byHost := map[string][]*rule.Rule{}
	for _, r := range rules {
		byHost[r.Host] = append(byHost[r.Host], &r)
	}
	for _, hostRules := range byHost {
		slices.SortStableFunc(hostRules, func(a, b *rule.Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return Table{byHost: byHost}
}

// Find returns the rule for a host name with the longest prefix of the path. The host name may have a port; its case is
// ignored.
func (t Table) Find(host, path string) (*rule.Rule, bool) {
	hostRules, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		hostRules = t.byHost[strings.ToLower(name)]
	}
	for _, r := range hostRules {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
