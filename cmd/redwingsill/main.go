// Command redwingsill runs an entry host, which routes each request to the backend server that owns its key. Its other commands
// are for operators, or run measurements and stand-ins for external systems.
package main

import (
	"context"
	"os"

	"redwingsill/io/commandline"
)

func main() {
	os.Exit(commandline.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
