// Command redwingsill routes requests to the one owner of each key.
package main

import (
	"context"
	"os"

	"redwingsill/io/commandline"
)

func main() {
	os.Exit(commandline.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
