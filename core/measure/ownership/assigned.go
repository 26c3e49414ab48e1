package ownership

// assigned is the system's own way: slots with owners, and hot keys with owners of their own.
type assigned struct{}

func (assigned) strategy() {}
