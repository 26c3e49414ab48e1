// Package commandline implements the commands of redwingsill.
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

// Exit statuses other than 0.
const (
	exitFailed   = 1
	exitInvalid  = 2
	exitConflict = 3
	exitUnknown  = 4
)

// Run runs the command given by the arguments and returns the exit status: 0 success, 1 failure, 2 invalid input or not found,
// 3 conflict with another change, 4 result unknown.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:            "redwingsill",
		Usage:           "route each request to the backend server that owns its key",
		Version:         version,
		Writer:          stdout,
		ErrWriter:       stderr,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(), applyCommand(), getCommand(), watchCommand(), diffCommand(), historyCommand(), explainCommand(),
			statusCommand(), findCommand(), standinCommand(), measureCommand(), versionCommand(),
		},
	}
	if err := root.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "redwingsill: "+err.Error())
		return exitStatus(err)
	}
	return 0
}

// exitStatus returns the exit status for an error. An error that is no [*Error] counts as invalid input, since parsing the
// arguments returns such errors.
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

// stringFlag returns a string flag that can also be set by an environment variable.
func stringFlag(name, variable, usage, value string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(variable)}
}

// readInput reads a file, or standard input if the path is -.
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
