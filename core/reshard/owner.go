package reshard

// owner is a backend server that may own keys.
type owner struct {
	incarnation string
	// capacity is how many requests of average duration it runs concurrently.
	capacity float64
	// load is the mean number of concurrent requests for its keys.
	load float64
	// keyCount is the number of keys that it owns.
	keyCount int
	// hasNoMovableRange is set once no range of its keys was found that has load and may move.
	hasNoMovableRange bool
}

// utilisation returns the load as a fraction of the capacity.
func (o owner) utilisation() float64 { return o.load / o.capacity }

func (o owner) keysPerCapacity() float64 { return float64(o.keyCount) / o.capacity }
