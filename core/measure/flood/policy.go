package flood

// policy determines how the requests for a backend server are queued, sent and retried. The variants are [ranked],
// [firstComeFirstServed], [strictRanks], [freeRetries] and [everyHostSends].
//
//sumtype:decl
type policy interface {
	policy()
}

// policyName returns the name under which results are printed.
func policyName(p policy) string {
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
