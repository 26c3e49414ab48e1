// Package command holds what the coordinator of a divided service wants done.
package command

// Command is one thing to do. The variants are [Grant], [Release] and [Save].
//
//sumtype:decl
type Command interface {
	order()
}
