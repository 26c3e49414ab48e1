// Package usage counts the resources that a host uses for its control protocol.
package usage

import "time"

// Usage counts one host's control messages, their bytes, and the time spent in its state machine. It is immutable.
type Usage struct {
	Sent          int
	Received      int
	SentBytes     int
	ReceivedBytes int
	// Steps counts the calls of the host's step function, and Busy is the time they took.
	Steps int
	Busy  time.Duration
}

// WithStep returns the usage with one more step of the given duration.
func (u Usage) WithStep(duration time.Duration) Usage {
	u.Steps++
	u.Busy += duration
	return u
}

// WithSent returns the usage with one more sent message of size bytes.
func (u Usage) WithSent(size int) Usage {
	u.Sent++
	u.SentBytes += size
	return u
}

// WithReceived returns the usage with one more received message of size bytes.
func (u Usage) WithReceived(size int) Usage {
	u.Received++
	u.ReceivedBytes += size
	return u
}
