package certificate

import (
	"crypto/tls"
	"time"
)

// loadedPair is a certificate with its key, and the time at which it was loaded.
type loadedPair struct {
	certificate tls.Certificate
	loadedAt    time.Time
}
