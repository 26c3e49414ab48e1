package command

// Result is how an order ended.
type Result uint8

// The results.
const (
	// Done says that it took effect.
	Done Result = iota
	// Stale says that a higher fencing token or a newer coordinator came first.
	Stale
	// Lost says that it may have taken effect or not.
	Lost
	// Unsent says that nothing has reached the peer.
	Unsent
	// Invalid says that the peer did not understand it, or is another than was meant.
	Invalid
)

var names = [...]string{"Done", "Stale", "Lost", "Unsent", "Invalid"}

// String returns the result's name.
func (r Result) String() string {
	if int(r) < len(names) {
		return names[r]
	}
	return "Unknown"
}
