package commandline

import "github.com/urfave/cli/v3"

func measureCommand() *cli.Command {
	return &cli.Command{Name: "measure", Usage: "measure the decisions against baselines"}
}
