// Package outcome holds what became of a request.
package outcome

// Outcome is what became of a request. The variants are [Answered], [NotRun] and [Unknown].
//
//sumtype:decl
type Outcome interface {
	outcome()
}

// Name returns the name of the variant, as callers see it.
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
