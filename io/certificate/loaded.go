package certificate

import (
	"crypto/tls"
	"time"
)

// loaded is a certificate as it was read at a time.
type loaded struct {
	certificate tls.Certificate
	checkedAt   time.Time
}
