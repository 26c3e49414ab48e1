package certificate

import (
	"crypto/tls"
	"time"
)

// loadedPair is a certificate with its private key, and the time at which both were loaded.
type loadedPair struct {
	certificate tls.Certificate
	loadedAt    time.Time
}
