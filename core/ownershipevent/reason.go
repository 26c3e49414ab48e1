package ownershipevent

// Reason is why a range was freed.
type Reason uint8

// The reasons for which a range is freed.
const (
	// NoOwner: the range had no owner.
	NoOwner Reason = iota
	// Released: the owner has released the range.
	Released
	// Expired: the owner's last grant has expired.
	Expired
	// OwnerEnded: the owner is known to have ended.
	OwnerEnded
)

var reasonNames = [...]string{"NoOwner", "Released", "Expired", "OwnerEnded"}

// String returns the name of the reason, or "Unknown".
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "Unknown"
}
