package drive

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

func (u Usage) withStep(took time.Duration) Usage {
	u.Steps++
	u.Busy += took
	return u
}

func (u Usage) withSent(size int) Usage {
	u.Sent++
	u.SentBytes += size
	return u
}

func (u Usage) withReceived(size int) Usage {
	u.Received++
	u.ReceivedBytes += size
	return u
}
