package capacity

// size is the size of a group under measurement. varied names the dimension in which it differs from [baseSize].
type size struct {
	varied  string
	hosts   int
	servers int
	// slots is the number of slots that keys hash to.
	slots            int
	hotKeys          int
	changesPerMinute int
}
