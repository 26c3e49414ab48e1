package command

// Result is how a command ended.
type Result uint8

// The results of a command.
const (
	// Done: the command took effect.
	Done Result = iota
	// Stale: a higher fencing token or a newer coordinator took precedence.
	Stale
	// Lost: no complete response arrived. The command may or may not have taken effect.
	Lost
	// Unsent: the command did not reach the backend server.
	Unsent
	// Invalid: the server at the address rejected the command as malformed, so that it had no effect.
	Invalid
	// Replaced: another backend server answered at the address and did not carry out the command.
	Replaced
)

var resultNames = [...]string{"Done", "Stale", "Lost", "Unsent", "Invalid", "Replaced"}

// String returns the name of the result, or "Unknown".
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "Unknown"
}
