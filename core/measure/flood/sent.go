package flood

import (
	"time"

	"redwingsill/core/request"
)

// sent is a request under way.
type sent struct {
	stream  stream
	arrived time.Time
	request request.Request
	tries   int
	counts  bool
}
