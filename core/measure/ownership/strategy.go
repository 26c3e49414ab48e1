package ownership

// strategy is a way to find the owner of a key. The variants are [assigned], [modulo] and [ring].
//
//sumtype:decl
type strategy interface {
	strategy()
}

func nameOf(s strategy) string {
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
