// Package order holds what the coordinator of a divided service wants done.
package order

// Order is one thing to do. The variants are [Grant], [Release] and [Save].
//
//sumtype:decl
type Order interface {
	order()
}
