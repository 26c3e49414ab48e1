package ownership

import (
	"time"

	"redwingsill/core/keyrange"
	"redwingsill/core/proof"
)

// presumedGrant is a grant whose answer may belong to an earlier call. It may still be carried out, until its hold has expired.
type presumedGrant struct {
	keyRange keyrange.Range
	fence    int64
	// until is when the hold is certain to have expired.
	until time.Time
	proof proof.Proof
}
