package flood

// policy is a way to serve a backend server's requests. The variants are [ranked], [firstComeFirstServed],
// [strictRanks], [freeRetries] and [everyHostSends].
//
//sumtype:decl
type policy interface {
	policy()
}

func nameOf(p policy) string {
	switch p.(type) {
	case ranked:
		return "Redwingsill"
	case firstComeFirstServed:
		return "FirstComeFirstServed"
	case strictRanks:
		return "StrictRanks"
	case freeRetries:
		return "FreeRetries"
	case everyHostSends:
		return "EveryHostSends"
	}
	return ""
}
