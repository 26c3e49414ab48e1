package ownership

// stage is how far a move has come.
type stage uint8

const (
	// fencing: the old owner is granted the range under a higher token, so that grants still under way are refused.
	fencing stage = iota
	// releasing: the old owner was asked to give the range up.
	releasing
	// freed: nobody holds the range.
	freed
	// saving: the new owner is being made durable.
	saving
)
