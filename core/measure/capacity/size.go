package capacity

// size is one size of a cell, and what was varied to come to it.
type size struct {
	varied  string
	hosts   int
	servers int
	slots   int
	hotKeys int
	changes int
}
