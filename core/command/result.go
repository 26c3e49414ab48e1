package command

// Result is the outcome of a command.
type Result uint8

// The results of a command.
const (
	// Done: the command took effect.
	Done Result = iota
	// Stale: a higher fencing token or a newer coordinator took precedence.
	Stale
	// Lost: the command may or may not have taken effect.
	Lost
	// Unsent: nothing reached the peer.
	Unsent
	// Invalid: the peer rejected the command as malformed, or is another server than the one addressed.
	Invalid
)

var resultNames = [...]string{"Done", "Stale", "Lost", "Unsent", "Invalid"}

// String returns the name of the result, or "Unknown".
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "Unknown"
}
