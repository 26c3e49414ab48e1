package commandline

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

const version = "0.1.0"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "redwingsill %s %s\n", version, runtime.Version())
			return err
		},
	}
}
