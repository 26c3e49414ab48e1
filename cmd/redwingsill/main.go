// Command redwingsill runs entry hosts, which route each request to the backend server that owns its key, and the commands
// for operators, stand-ins and measurements.
package main

import (
	"context"
	"os"

	"redwingsill/io/commandline"
)

func main() {
	os.Exit(commandline.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
