// Command redwingsill-platform runs an entry host on the users' platform. It is a program of its own, so that a host
// carries nothing in its memory that only operators and stand-ins use.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"redwingsill/platform"
	"redwingsill/platform/settings"
)

func main() {
	command := &cli.Command{
		Name:  "redwingsill-platform",
		Usage: "run an entry host on the platform until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings file", Sources: cli.EnvVars(settings.PathVariable)}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return platform.Run(ctx, c.String("settings"), os.Stdout)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "redwingsill-platform: "+err.Error()) // nowhere else to tell it
		os.Exit(1)
	}
}
