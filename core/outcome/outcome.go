// Package outcome holds the final result of a request.
package outcome

// Outcome is the final result of a request. The variants are [Answered], [NotRun] and [Unknown].
//
//sumtype:decl
type Outcome interface {
	outcome()
}

// Name returns the name of the variant as it is sent to callers.
func Name(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "Answered"
	case NotRun:
		return "NotRun"
	case Unknown:
		return "Unknown"
	}
	return ""
}
