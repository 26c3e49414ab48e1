// Package identity holds who an entry host is.
package identity

// Identity tells one start of an entry host from all others.
type Identity struct {
	Name        string
	DataCentre  string
	Incarnation int64
}
