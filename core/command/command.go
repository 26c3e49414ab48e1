// Package command holds the commands of a sharded service's coordinator to backend servers and to the store.
package command

// Command is a command of the coordinator. The variants are [Grant], [Release] and [Save].
//
//sumtype:decl
type Command interface {
	isCommand()
}
