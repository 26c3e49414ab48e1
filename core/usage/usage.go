// Package usage counts what a host uses for control.
package usage

import "time"

// Usage is what a host has used for control.
type Usage struct {
	Sent          int
	Received      int
	SentBytes     int
	ReceivedBytes int
	Steps         int
	Busy          time.Duration
}

// WithStep returns the usage after one more step.
func (u Usage) WithStep(took time.Duration) Usage {
	u.Steps++
	u.Busy += took
	return u
}

// WithSent returns the usage after one more message sent, of a size in bytes.
func (u Usage) WithSent(size int) Usage {
	u.Sent++
	u.SentBytes += size
	return u
}

// WithReceived returns the usage after one more message received, of a size in bytes.
func (u Usage) WithReceived(size int) Usage {
	u.Received++
	u.ReceivedBytes += size
	return u
}
