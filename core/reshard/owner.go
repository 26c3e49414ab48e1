package reshard

// owner is a backend server that may own keys.
type owner struct {
	life string
	// capacity is how many average requests it runs at the same time.
	capacity float64
	// load is how many its keys keep running on average.
	load  float64
	width int
	// isFixed says that nothing it has can be moved to any use.
	isFixed bool
}

func (o owner) use() float64 { return o.load / o.capacity }

func (o owner) span() float64 { return float64(o.width) / o.capacity }
