// Package dominantkey finds the one key that most requests of a server are for, if there is one. A key may get a sixth of a
// service's requests, many times what its server can run.
package dominantkey

import "redwingsill/core/slotrequest"

// maxVotes bounds the votes, so that a key that has cooled down is replaced after as many requests for other keys.
const maxVotes = 32

// DominantKey holds the candidate of a majority vote over the latest requests. A key of more than half of them becomes the
// candidate. The zero value has none. It is immutable.
type DominantKey struct {
	key   int
	votes int
}

// With returns the vote after a request for a key.
func (d DominantKey) With(key int) DominantKey {
	switch {
	case d.votes == 0:
		return DominantKey{key: key, votes: 1}
	case d.key == key:
		d.votes = min(maxVotes, d.votes+1)
	default:
		d.votes--
	}
	return d
}

// Key returns the candidate, or [slotrequest.NoKey]. Whether it really has most requests is to be checked by its rate.
func (d DominantKey) Key() int {
	if d.votes == 0 {
		return slotrequest.NoKey
	}
	return d.key
}
