// Package commandline is the command line of redwingsill.
package commandline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"redwingsill/core/kind"
)

// The exit statuses.
const (
	exitFailed   = 1
	exitInvalid  = 2
	exitConflict = 3
	exitUnknown  = 4
)

// Run runs the command that the arguments name and returns the exit status: 0 done, 1 failed, 2 wrong input,
// 3 conflict, 4 unknown whether done.
func Run(ctx context.Context, arguments []string, out, errors io.Writer) int {
	root := &cli.Command{
		Name:            "redwingsill",
		Usage:           "route requests to the one owner of each key",
		Version:         version,
		Writer:          out,
		ErrWriter:       errors,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(), applyCommand(), getCommand(), watchCommand(), diffCommand(), historyCommand(), explainCommand(),
			statusCommand(), findCommand(), standinCommand(), measureCommand(), versionCommand(),
		},
	}
	if err := root.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(errors, "redwingsill: "+err.Error())
		return exitStatus(err)
	}
	return 0
}

func exitStatus(err error) int {
	var failed *Error
	if !errors.As(err, &failed) {
		return exitInvalid
	}
	switch failed.Kind {
	case kind.Invalid, kind.NotFound:
		return exitInvalid
	case kind.Conflict:
		return exitConflict
	case kind.Unknown:
		return exitUnknown
	case kind.Denied, kind.Unavailable, kind.Full:
	}
	return exitFailed
}

// setting returns a text flag that an environment variable can give too.
func stringFlag(name, variable, usage, value string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(variable)}
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
