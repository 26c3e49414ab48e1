// Command redwingsill-platform runs an entry host on the hosting platform of the project's users, with the platform's settings,
// store and header fields. It is a program separate from redwingsill so that the process of a host doesn't load code that only
// operator commands and stand-ins for external systems use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"redwingsill/platform"
	"redwingsill/platform/settings"
)

func main() {
	signal.Ignore(syscall.SIGHUP) // until the host can reload its settings, which it is yet to read
	command := &cli.Command{
		Name:  "redwingsill-platform",
		Usage: "run an entry host on the platform until SIGTERM or SIGINT",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(settings.PathVariable)}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return platform.Run(ctx, c.String("settings"), os.Stdout)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "redwingsill-platform: "+err.Error()) // a failed write to stderr can't be reported
		os.Exit(1)
	}
}
