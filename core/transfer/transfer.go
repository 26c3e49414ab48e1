// Package transfer holds how far a long body has got on its way from a caller through an entry host to a backend server.
package transfer

import "time"

// minRateAge is the age from which the rate of a body is known. Before, its caller may not have begun to send.
const minRateAge = 400 * time.Millisecond

// Transfer is a long body that crosses the host's link twice: it is read from the caller and then sent to a backend server.
// It is immutable.
type Transfer struct {
	// length is the announced length in bytes, or an assumed one, and read the number of bytes that have been read.
	length, read int64
	began        time.Time
	isWhole      bool
	// sentAt is the time at which sending began, or zero.
	sentAt time.Time
}

// New returns a body of length bytes that is to be read from now on.
func New(length int64, now time.Time) Transfer { return Transfer{length: length, began: now} }

// WithRead returns the transfer after n further bytes have been read.
func (t Transfer) WithRead(n int64) Transfer {
	t.read += n
	t.length = max(t.length, t.read)
	return t
}

// WithWhole returns the transfer after the end of the body has been read. The body then waits for a backend server.
func (t Transfer) WithWhole() Transfer {
	t.length, t.isWhole = t.read, true
	return t
}

// WithSending returns the transfer once the body is being sent to a backend server.
func (t Transfer) WithSending(now time.Time) Transfer {
	t.sentAt = now
	return t
}

// Queued returns the bytes that may lie before a packet on a link of the given rate: what is to be read and then sent, but
// nothing of a body that waits for a backend server. A body whose caller sends slowly counts with what comes within the horizon.
func (t Transfer) Queued(now time.Time, bytesPerSecond float64, horizon time.Duration) float64 {
	switch {
	case !t.sentAt.IsZero():
		// Nothing reports how much of the body has left the host, so half of the link is assumed for it.
		return max(0, float64(t.length)-now.Sub(t.sentAt).Seconds()*bytesPerSecond/2)
	case t.isWhole:
		return 0
	}
	rest := float64(t.length - t.read)
	if age := now.Sub(t.began); age >= minRateAge {
		if soon := float64(t.read) / age.Seconds() * horizon.Seconds(); soon < rest {
			return soon
		}
	}
	return rest + float64(t.length)
}

// Remaining returns all bytes that are still to cross a link of the given rate.
func (t Transfer) Remaining(now time.Time, bytesPerSecond float64) float64 {
	switch {
	case !t.sentAt.IsZero():
		return t.Queued(now, bytesPerSecond, 0)
	case t.isWhole:
		return float64(t.length)
	}
	return float64(2*t.length - t.read)
}
