package capacity

// size is the size of a group under measurement. varied names the dimension in which it differs from [baseSize].
type size struct {
	varied  string
	hosts   int
	servers int
	// hashSlots is the number of hash slots that keys hash to.
	hashSlots        int
	hotKeys          int
	changesPerMinute int
}
