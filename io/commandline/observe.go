package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"redwingsill/core/configuration"
	"redwingsill/core/kind"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "show the configuration in force at an entry host",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, operators *client) error {
			found, text, err := operators.getConfiguration(ctx)
			if err != nil {
				return err
			}
			return printConfiguration(c, found, text)
		}),
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "show each new configuration as it comes into force, until interrupted",
		Flags: clientFlags(&cli.IntFlag{Name: "count", Usage: "stop after so many; 0 is never"}),
		Action: withClient(func(ctx context.Context, c *cli.Command, operators *client) error {
			after, shown := int64(0), 0
			for limit := c.Int("count"); limit == 0 || shown < limit; {
				text, err := operators.do(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil)
				if err != nil {
					return err
				}
				if len(text) == 0 {
					continue
				}
				found, err := parseConfigurationResponse(text)
				if err != nil {
					return err
				}
				if err := printConfiguration(c, found, text); err != nil {
					return err
				}
				after = found.Revision
				shown++
			}
			return nil
		}),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how a file differs from the configuration in force",
		ArgsUsage: "FILE",
		Flags:     clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, operators *client) error {
			found, _, err := operators.getConfiguration(ctx)
			if err != nil {
				return err
			}
			current, err := found.configuration()
			if err != nil {
				return err
			}
			text, err := readInput(c.Args().First())
			if err != nil {
				return newError("diff", kind.Invalid, err)
			}
			all, err := configuration.ParseResources(text)
			if err != nil {
				return newError("diff", kind.Invalid, err)
			}
			next := current
			for _, r := range all {
				next = next.With(r)
			}
			_, err = fmt.Fprintln(c.Root().Writer, strings.Join(current.Diff(next), "\n"))
			return err
		}),
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "show the newest accepted changes",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, operators *client) error {
			found, _, err := operators.getConfiguration(ctx)
			if err != nil {
				return err
			}
			if c.String("format") == "json" {
				return json.NewEncoder(c.Root().Writer).Encode(found.Changes)
			}
			for _, ch := range found.Changes {
				_, _ = fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s\t%s\t%d resources\n", ch.Revision, ch.At.Format("2006-01-02T15:04:05Z07:00"), ch.By, ch.ID, len(ch.Summary))
			}
			return nil
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell why a key, a backend server or a request stands as it does",
		ArgsUsage: "key SERVICE KEY | server NAME | request ID",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			path := ""
			switch {
			case len(args) == 3 && args[0] == "key":
				path = "/v1/explain/keys/" + url.PathEscape(args[1]) + "/" + url.PathEscape(args[2])
			case len(args) == 2 && args[0] == "server":
				path = "/v1/explain/servers/" + url.PathEscape(args[1])
			case len(args) == 2 && args[0] == "request":
				path = "/v1/explain/requests/" + url.PathEscape(args[1])
			default:
				return newError("explain", kind.Invalid, fmt.Errorf("give: key SERVICE KEY, server NAME, or request ID"))
			}
			return printGet(ctx, c, path)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show what an entry host has in force",
		Flags:  clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error { return printGet(ctx, c, "/v1/status") },
	}
}

func findCommand() *cli.Command {
	return &cli.Command{
		Name:      "find",
		Usage:     "tell what became of a change; exit status 2 where the platform does not have it",
		ArgsUsage: "CHANGE",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return printGet(ctx, c, "/v1/changes/"+url.PathEscape(c.Args().First()))
		},
	}
}

// printCall prints the answer to a GET: as it is, or a line for each field.
func printGet(ctx context.Context, c *cli.Command, path string) error {
	operators, err := newClient(c)
	if err != nil {
		return err
	}
	text, err := operators.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if c.String("format") == "json" {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	lines := strings.Split(strings.NewReplacer(`"`, "", ",\n", "\n", "{", "", "}", "").Replace(string(text)), "\n")
	for _, line := range lines {
		if strings.TrimSpace(line) != "" {
			_, _ = fmt.Fprintln(c.Root().Writer, strings.TrimPrefix(line, "  "))
		}
	}
	return nil
}

func printConfiguration(c *cli.Command, found configurationResponse, text []byte) error {
	if c.String("format") == "json" {
		_, err := c.Root().Writer.Write(text)
		return err
	}
	return found.print(c.Root().Writer)
}
