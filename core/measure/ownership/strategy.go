package ownership

// strategy determines the owner of a key. The variants are [assigned], [modulo] and [ring].
//
//sumtype:decl
type strategy interface {
	strategy()
}

// strategyName returns the name under which results are printed.
func strategyName(s strategy) string {
	switch s.(type) {
	case assigned:
		return "Redwingsill"
	case modulo:
		return "Modulo"
	case ring:
		return "Ring"
	}
	return ""
}
