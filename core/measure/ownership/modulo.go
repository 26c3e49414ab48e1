package ownership

// modulo is the baseline that indexes the servers by the key hash modulo their number.
type modulo struct{}

func (modulo) strategy() {}
