package configuration

import (
	"fmt"
	"reflect"

	"redwingsill/core/resource"
)

// Diff returns one line for each resource that was added (+), changed (~) or removed (-) between c and next.
func (c Configuration) Diff(next Configuration) []string {
	before, after := c.byPath(), next.byPath()
	var lines []string
	for _, r := range next.Resources() {
		path := pathOf(r)
		old, existed := before[path]
		switch {
		case !existed:
			lines = append(lines, "+ "+path)
		case !reflect.DeepEqual(old, r):
			lines = append(lines, fmt.Sprintf("~ %s: %+v -> %+v", path, old, r))
		}
	}
	for _, r := range c.Resources() {
		if _, remains := after[pathOf(r)]; !remains {
			lines = append(lines, "- "+pathOf(r))
		}
	}
	return lines
}

func (c Configuration) byPath() map[string]resource.Resource {
	all := map[string]resource.Resource{}
	for _, r := range c.Resources() {
		all[pathOf(r)] = r
	}
	return all
}

func pathOf(r resource.Resource) string {
	return resource.KindOf(r) + "/" + r.ResourceName()
}
