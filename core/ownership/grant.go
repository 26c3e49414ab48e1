package ownership

import "redwingsill/core/keyrange"

// grant is a call under way.
type grant struct {
	owner string
	of    keyrange.Range
}
