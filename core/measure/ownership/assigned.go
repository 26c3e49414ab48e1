package ownership

// assigned is Redwingsill's own strategy: the assignment names an owner for each hash slot, and for each hot key
// separately.
type assigned struct{}

func (assigned) strategy() {}
