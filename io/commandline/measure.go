package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"redwingsill/core/kind"
	"redwingsill/core/measure/capacity"
	"redwingsill/core/measure/flood"
	"redwingsill/core/measure/ownership"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure routing and scheduling against baselines",
		Commands: []*cli.Command{
			simulationCommand("ownership", "measure the ownership of keys under faults, in virtual time", func(seed uint64) any { return ownership.New(seed).Run() }),
			simulationCommand("capacity", "measure the cost of coordination by group size; processor time and memory depend on this machine",
				func(seed uint64) any { return capacity.New(seed).Run() }),
			hopCommand(),
			simulationCommand("flood", "measure how requests of each rank are served under floods, in virtual time", func(seed uint64) any { return flood.New(seed).Run() }),
		},
	}
}

// simulationCommand returns the command of a simulation whose behaviour depends only on a seed.
func simulationCommand(name, usage string, run func(seed uint64) any) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of all random values", Value: 1, Sources: cli.EnvVars("REDWINGSILL_SEED")},
			stringFlag("format", "REDWINGSILL_FORMAT", "table or json", "table"),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			result := run(c.Uint64("seed"))
			text, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return newError("measure", kind.Invalid, err)
			}
			if c.String("format") == "json" {
				_, err = fmt.Fprintln(c.Root().Writer, string(text))
				return err
			}
			return printTables(c, text)
		},
	}
}

// printTables prints a JSON object: each list of objects as a table, each other field on one line.
func printTables(c *cli.Command, text []byte) error {
	fields, err := orderedFields(text)
	if err != nil {
		return newError("measure", kind.Invalid, err)
	}
	for _, f := range fields {
		var rows []json.RawMessage
		if json.Unmarshal(f.value, &rows) != nil {
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: %s\n", f.name, f.value)
			continue
		}
		_, _ = fmt.Fprintln(c.Root().Writer, f.name)
		t := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
		for i, row := range rows {
			cells, err := orderedFields(row)
			if err != nil {
				return newError("measure", kind.Invalid, err)
			}
			if i == 0 {
				for _, cell := range cells {
					_, _ = fmt.Fprintf(t, "%s\t", cell.name)
				}
				_, _ = fmt.Fprintln(t)
			}
			for _, cell := range cells {
				_, _ = fmt.Fprintf(t, "%s\t", formatCell(cell.value))
			}
			_, _ = fmt.Fprintln(t)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
